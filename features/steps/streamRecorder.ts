/** Steps for the recorder of streams alone, without hosts or a store. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { engineService } from '../../src/standin/fleet/startFleet.js'
import { StreamRecorder } from '../../src/tasks/streams/streamRecorder.js'

interface RecorderWorld {
  recorder: StreamRecorder
  batches: number[]
  /** Longest time from a record's receipt to its confirmation. */
  longestMs: number
  versionClock: VirtualClock
  sentCount: number
  sentMs: number
}

Given('a recorder whose store takes {int} ms for each call', function (this: RecorderWorld, ms: number) {
  this.batches = []
  this.recorder = new StreamRecorder({
    clock: createSystemClock(),
    log: { record: () => {} },
    countRecorders: () => 1,
    transact: async ({ writes, removals }) => {
      await sleep(ms)
      this.batches.push(writes.length + removals.length)
      return { verdict: 'applied', version: this.batches.length }
    }
  })
})

When('{int} records come at once, and {int} more within the next {int} ms', async function (this: RecorderWorld, count: number, later: number, ms: number) {
  const receive = (key: string): void => this.recorder.receiveRecords([{ key, service: engineService, version: 'v1' }], () => {})
  this.sentCount = count + later
  this.sentMs = ms
  for (let index = 0; index < count; index++) receive(`early ${index}`)
  for (let index = 0; index < later; index++) {
    await sleep(ms / later)
    receive(`late ${index}`)
  }
})

Given('one of {int} recorders whose store takes {int} ms for each call', function (this: RecorderWorld, recorderCount: number, storeMs: number) {
  this.batches = []
  this.longestMs = 0
  this.versionClock = new VirtualClock()
  this.recorder = new StreamRecorder({
    clock: this.versionClock,
    log: { record: () => {} },
    countRecorders: () => recorderCount,
    transact: async ({ writes, removals }) => {
      await new Promise<void>(resolve => { this.versionClock.setTimer(resolve, storeMs) })
      this.batches.push(writes.length + removals.length)
      return { verdict: 'applied', version: this.batches.length }
    }
  })
})

When('{int} records come within {int} ms', async function (this: RecorderWorld, count: number, ms: number) {
  const { versionClock: clock, recorder } = this
  const receive = (index: number): void => {
    const receivedAtMs = clock.readMonotonic()
    recorder.receiveRecords([{ key: `record ${index}`, service: engineService, version: 'v1' }], () => { this.longestMs = Math.max(this.longestMs, clock.readMonotonic() - receivedAtMs) })
  }
  for (let index = 0; index < count; index++) clock.setTimer(() => receive(index), index * ms / count)
  await clock.runUntilSettled(ms * 2)
  assert.equal(this.batches.reduce((sum, size) => sum + size, 0), count)
})

Then('each of them is written within {int} ms', function (this: RecorderWorld, ms: number) {
  assert.ok(this.longestMs <= ms, `${this.longestMs} ms`)
})

Then('it has called the store at most {int} times', function (this: RecorderWorld, most: number) {
  assert.ok(this.batches.length <= most, `${this.batches.length} calls`)
})

Then('all of them are written within {int} ms, at {int} a call at most', async function (this: RecorderWorld, ms: number, most: number) {
  await sleep(ms - this.sentMs)
  this.recorder.stop()
  assert.equal(this.batches.reduce((sum, size) => sum + size, 0), this.sentCount)
  assert.ok(this.batches.every(size => size <= most), `${Math.max(...this.batches)}`)
})
