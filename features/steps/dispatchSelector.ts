/** Steps of a host's selection among endpoints of a plain service whose granters refuse a request. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { EndpointDirectory } from '../../src/core/endpointDirectory.js'
import { EndpointHealth } from '../../src/core/endpointHealth.js'
import { EndpointNotices } from '../../src/core/endpointNotices.js'
import type { EndpointLink } from '../../src/ports/endpointLink.js'
import type { EndpointEntry } from '../../src/schemas/routing.js'
import { DispatchSelector } from '../../src/tasks/proxy/dispatchSelector.js'
import type { EndpointSelection } from '../../src/tasks/proxy/endpointSelector.js'
import { createEntry, createQuery } from '../support/dispatchTrial.js'

interface DispatchSelectorWorld {
  entries: EndpointEntry[]
  dispatchSelector: DispatchSelector
  selection: EndpointSelection
}

Given('endpoints of a plain service of which {int} leave while they are asked and {int} are full for {int} ms', function (this: DispatchSelectorWorld, leaving: number, full: number, fullMs: number) {
  this.entries = Array.from({ length: leaving + full }, (_, index) => createEntry(index))
  this.dispatchSelector = new DispatchSelector({
    clock: new VirtualClock(),
    clusterView: { hosts: new Map(), endpoints: new EndpointDirectory() },
    health: new EndpointHealth(),
    notices: new EndpointNotices(),
    // As `ReservationClient.withdrawPending` and the granter refuse requests.
    places: {
      requestPlace: async ({ endpointId }) => {
        const isLeaving = this.entries.findIndex(({ id }) => id === endpointId) < leaving
        return { kind: 'refused', code: isLeaving ? 'endpoint_leaving' : 'overdue', message: endpointId, retryAfterMs: isLeaving ? 0 : fullMs, expectedMs: -1, load: undefined, elsewhere: undefined }
      }
    },
    own: { zone: 'a' },
    random: () => 0.5,
    getLink: () => undefined as unknown as EndpointLink
  })
})

When('a host selects one of them', async function (this: DispatchSelectorWorld) {
  this.selection = await this.dispatchSelector.selectEndpoint(createQuery(1, 0), this.entries)
})

Then('the caller may come back after {int} ms', function (this: DispatchSelectorWorld, retryMs: number) {
  assert.equal(this.selection.kind === 'none' && this.selection.retryAfterMs, retryMs)
})
