/** Steps for the shares of client accounts at an endpoint. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { AccountShares, maxTrackedAccounts } from '../../src/core/accountShares.js'

interface AccountSharesWorld {
  shares: AccountShares
  nowMs: number
}

interface Event {
  account: number
  workMs: number
  /** Whether the work was granted, or was only asked for. */
  isGranted: boolean
  gapMs: number
}

const weights = [1, 2, 5, 1, 0.5, 3]
const names = weights.map((_, index) => `account-${index}`)
const events = fc.array(fc.record({ account: fc.nat(weights.length - 1), workMs: fc.double({ min: 0.1, max: 500, noNaN: true }), isGranted: fc.boolean(), gapMs: fc.nat(300) }), { minLength: 1, maxLength: 60 })

function replay (history: readonly Event[]): { shares: AccountShares, nowMs: number, used: number[] } {
  const shares = new AccountShares(name => weights[names.indexOf(name)]!)
  const used = weights.map(() => 0)
  let nowMs = 0
  for (const { account, workMs, isGranted, gapMs } of history) {
    shares.recordDemand(names[account], workMs, nowMs)
    if (isGranted) {
      shares.record(names[account], workMs, nowMs)
      used[account]! += workMs
    }
    nowMs += gapMs
    for (let index = 0; index < used.length; index++) used[index]! *= Math.exp(-gapMs / 2000)
  }
  return { shares, nowMs, used }
}

function check (runs: number, predicate: (history: Event[]) => void): void {
  fc.assert(fc.property(events, predicate), { numRuns: runs })
}

Then('in {int} random histories no account that was given at most its weight\'s part is over its share', function (runs: number) {
  check(runs, history => {
    const { shares, nowMs, used } = replay(history)
    const active = new Set(history.map(({ account }) => account))
    const total = used.reduce((sum, ms) => sum + ms, 0)
    const weight = [...active].reduce((sum, account) => sum + weights[account]!, 0)
    for (const account of active) if (used[account]! <= total * weights[account]! / weight) assert.equal(shares.isOverShare(names[account], nowMs), false)
  })
})

Then('in {int} random histories without unmet demand no account is over its share', function (runs: number) {
  check(runs, history => {
    const { shares, nowMs } = replay(history.map(event => ({ ...event, isGranted: true })))
    for (const name of names) assert.equal(shares.isOverShare(name, nowMs), false)
  })
})

Then('in {int} random histories not all accounts are over their share', function (runs: number) {
  check(runs, history => {
    const { shares, nowMs } = replay(history)
    const active = new Set(history.map(({ account }) => account))
    assert.ok([...active].some(account => !shares.isOverShare(names[account], nowMs)))
  })
})

Then('in {int} random histories requests without an account are not over a share', function (runs: number) {
  check(runs, history => {
    const { shares, nowMs } = replay(history)
    shares.recordDemand(undefined, 1e6, nowMs)
    shares.record(undefined, 1e6, nowMs)
    assert.equal(shares.isOverShare(undefined, nowMs + 20), false)
  })
})

When('{int} accounts have sent one request each beside an account in steady use', function (this: AccountSharesWorld, accounts: number) {
  this.shares = new AccountShares()
  this.nowMs = 0
  for (let index = 0; index < accounts; index++) {
    this.nowMs += 0.2
    this.shares.recordDemand(`account-${index}`, 1, this.nowMs)
    if (index % 10 !== 0) continue
    this.shares.recordDemand('steady', 20, this.nowMs)
    this.shares.record('steady', 20, this.nowMs)
  }
})

Then('no more accounts are tracked than the limit', function (this: AccountSharesWorld) {
  assert.ok(this.shares.size <= maxTrackedAccounts, `${this.shares.size} accounts`)
})

Then('the account in steady use is over its share', function (this: AccountSharesWorld) {
  assert.equal(this.shares.isOverShare('steady', this.nowMs), true)
})

When(/^accounts want ([\d, ]+) ms and are given ([\d, ]+) ms$/, function (this: AccountSharesWorld, wanted: string, given: string) {
  const [wantedMs, givenMs] = [wanted, given].map(list => list.split(', ').map(Number))
  this.shares = new AccountShares()
  this.nowMs = 1000
  wantedMs!.forEach((workMs, index) => {
    this.shares.recordDemand(`${index + 1}`, workMs, this.nowMs)
    this.shares.record(`${index + 1}`, givenMs![index]!, this.nowMs)
  })
})

When('accounts 1 to 3 have been given all they want for 10 s', function (this: AccountSharesWorld) {
  for (let tick = 0; tick < 1000; tick++) {
    this.nowMs += 10
    for (const account of ['1', '2', '3']) {
      this.shares.recordDemand(account, 5, this.nowMs)
      this.shares.record(account, 5, this.nowMs)
    }
  }
})

function listOver ({ shares, nowMs }: AccountSharesWorld): string[] {
  return ['1', '2', '3', '4'].filter(account => shares.isOverShare(account, nowMs + 20))
}

Then('only account {int} is over its share', function (this: AccountSharesWorld, account: number) {
  assert.deepEqual(listOver(this), [String(account)])
})

Then('no account is over its share', function (this: AccountSharesWorld) {
  assert.deepEqual(listOver(this), [])
})
