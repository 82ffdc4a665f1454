/** Steps for event ids that are wrong. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { canRetryAttempt } from '../../src/core/retryRules.js'
import { SseEventSplitter } from '../../src/core/sseEventSplitter.js'
import { isWhole, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { EventSpoiling } from '../../src/standin/fleet/spoilEvent.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface EventsWorld {
  splitter: SseEventSplitter
  relayed: string
  defect: string | undefined
}

Given('in half of the streams of two engines the id of event {int} is spoiled: {string}', function (this: HostsWorld, spoiledEvent: number, spoiling: EventSpoiling) {
  for (const { server } of this.hostFleet.fleet.engines.slice(0, 2)) server.setFaults({ spoiledIds: 0.5, spoiling, spoiledEvent })
})

Then('no incomplete stream ends as a whole one', function (this: HostsWorld) {
  assert.deepEqual(this.answers.filter(answer => looksWhole(answer) && !isWhole(answer)).map(({ body }) => body), [])
})

Then('some streams were spoiled', function (this: HostsWorld) {
  const { runs } = this.hostFleet.fleet.journal
  assert.ok(runs.length > this.answers.length || this.answers.some(answer => !isWhole(answer)), 'no stream was run again or broken off')
})

Given(/^a stream that (?:begins anew|goes on from (\d+))$/, function (this: EventsWorld, lastId: string | null) {
  this.splitter = createSplitter(lastId === null ? undefined : Number(lastId))
})

function createSplitter (lastId: number | undefined): SseEventSplitter {
  return new SseEventSplitter({ lastId, isContinued: lastId !== undefined })
}

/** `-` stands for an event without an id, `:` for a comment. */
function formatEvent (name: string): string {
  if (name === ':') return ': a comment\n\n'
  return name === '-' ? 'data: -\n\n' : `id: ${name}\ndata: ${name}\n\n`
}

When('its events have the ids {string}', function (this: EventsWorld, events: string) {
  const bytes = Buffer.from(events.split(' ').map(formatEvent).join(''))
  // Every way to cut the bytes in two has to give the same.
  const results = Array.from({ length: bytes.length }, (_, cut) => {
    const splitter = createSplitter(this.splitter.lastId)
    const first = splitter.add(bytes.subarray(0, cut))
    const parts = first.defect === undefined ? [first, splitter.add(bytes.subarray(cut))] : [first]
    const { defect } = parts.at(-1)!
    const canEnd = defect === undefined && !splitter.isIncomplete
    const relayed = Buffer.concat([...parts.map(part => part.bytes), canEnd ? splitter.takeRest() : Buffer.alloc(0)])
    return { relayed: relayed.toString(), defect, lastId: splitter.lastId, canEnd }
  })
  for (const result of results) assert.deepEqual(result, results[0])
  this.relayed = results[0]!.relayed
  this.defect = results[0]!.defect
  this.splitter.add(bytes)
})

Then(/^the events "([^"]*)" are relayed, the last id is (\d+|none), and the stream (can end|is defective|can't end yet)$/, function (this: EventsWorld, relayed: string, last: string, state: string) {
  assert.equal(this.relayed, relayed === '' ? '' : relayed.split(' ').map(formatEvent).join(''))
  assert.equal(this.splitter.lastId, last === 'none' ? undefined : Number(last))
  assert.equal(this.defect !== undefined, state === 'is defective')
  if (state !== 'is defective') assert.equal(this.splitter.isIncomplete, state === 'can\'t end yet')
})

Then('a resumable stream may be followed by another attempt if its caller has nothing, or the events up to a known id, and not otherwise', function () {
  const context = { kind: 'stream', isResumable: true, possibleRuns: 1, maxAttempts: 2, timeLeftMs: 1000 } as const
  const failure = { verdict: 'mayHaveRun', reason: 'the connection was lost', status: undefined } as const
  assert.ok(canRetryAttempt(failure, { ...context, hasSentAnswer: false, canBeFollowed: true }))
  assert.ok(canRetryAttempt(failure, { ...context, hasSentAnswer: true, canBeFollowed: true }))
  assert.ok(!canRetryAttempt(failure, { ...context, hasSentAnswer: true, canBeFollowed: false }))
})
