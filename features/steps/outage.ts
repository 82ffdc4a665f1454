/** Steps of an outage of the table, through the whole system on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { FuzzSystem, fuzzAdapters } from '../../fuzz/fuzzSystem.js'
import { allMechanisms } from '../../fuzz/mechanisms.js'
import type { CallerRecord } from '../../fuzz/records.js'

const minuteMs = 60_000
const settleMs = 10_000
const askIntervalMs = 3000

interface OutageWorld {
  system: FuzzSystem
}

function listUnanswered (system: FuzzSystem): CallerRecord[] {
  return system.callers.filter(caller => caller.outcome !== 'whole')
}

Given(/^the whole system on a virtual clock( without outage reports)?$/, async function (this: OutageWorld, without: string | null) {
  this.system = new FuzzSystem(without ? { ...allMechanisms, filterOutageReports: () => [] } : allMechanisms)
  await this.system.start()
  await this.system.advance(settleMs)
})

When('the table is down for {int} minutes and callers ask for every adapter each minute', async function (this: OutageWorld, minutes: number) {
  const { system } = this
  system.platform.isDown = true
  for (let minute = 0; minute < minutes; minute++) {
    for (const [index, adapter] of fuzzAdapters.entries()) {
      const model = `${adapter}@${minute % 2 + 1}`
      system.sendRequest({ gateway: index, model, tokens: 3, content: `${minute}`, className: 'later' })
      await system.advance(askIntervalMs)
    }
    await system.advance(minuteMs - fuzzAdapters.length * askIntervalMs)
  }
})

Then('each of these callers got a whole answer', function (this: OutageWorld) {
  assert.ok(this.system.callers.length > 0)
  assert.deepEqual(listUnanswered(this.system), [])
})

Then('some of these callers got no answer', function (this: OutageWorld) {
  assert.ok(listUnanswered(this.system).length > 0)
})
