/** Steps for replays of loads against the planners of engines. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { computeOnTimeShare, createRandom, drawArrivals, replayLoad } from '../support/engineReplay.js'
import type { ReplayOptions, ReplayRequest, ReplayResult } from '../support/engineReplay.js'

interface EngineReplayWorld {
  requests: ReplayRequest[]
  options: ReplayOptions
  attach: (text: string, mediaType: string) => void
}

/** Requests of 650 tokens for each engine and second; it can read some 47 such prompts. */
const usualPerEngine = 26

When('{int} accounts of which the largest sends {float} times its usual use {int} engines for {int} s', function (this: EngineReplayWorld, accounts: number, times: number, engines: number, seconds: number) {
  const random = createRandom(7)
  const parts = Array.from({ length: accounts }, (_, index) => 1 / (index + 1))
  const sum = parts.reduce((total, part) => total + part, 0)
  this.requests = parts.flatMap((part, index) => drawArrivals(usualPerEngine * engines * part / sum * (index === 0 ? times : 1), 0, seconds * 1000, random)
    .map(atMs => ({ atMs, kind: 'chat', targetMs: 600, patienceMs: 3000, promptTokens: 650, account: `account-${index}` })))
  this.options = { seed: 3, batchLimit: 48, speeds: Array.from({ length: engines }, () => 1) }
})

function measureOthers (results: ReplayResult[], requests: readonly ReplayRequest[]): number {
  return computeOnTimeShare(results.filter((_, index) => requests[index]!.account !== 'account-0'))
}

Then('without accounts at most {float} of the requests of the others are on time', function (this: EngineReplayWorld, share: number) {
  const results = replayLoad(this.requests.map(({ account, ...request }) => request), this.options)
  const measured = measureOthers(results, this.requests)
  this.attach(`others ${measured}, all ${computeOnTimeShare(results)}`, 'text/plain')
  assert.ok(measured <= share, `${measured} of the others are on time`)
})

Then('with accounts at least {float} of the requests of the others are on time', function (this: EngineReplayWorld, share: number) {
  const results = replayLoad(this.requests, this.options)
  const measured = measureOthers(results, this.requests)
  this.attach(`others ${measured}, all ${computeOnTimeShare(results)}`, 'text/plain')
  assert.ok(measured >= share, `${measured} of the others are on time`)
})
