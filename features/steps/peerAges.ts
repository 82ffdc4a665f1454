/** Steps for the store age that hosts report to each other. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { ReceiveMessage } from '../../src/ports/datagrams.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { PeerTask } from '../../src/tasks/peers/peerTask.js'
import type { HostPingReply } from '../../src/tasks/peers/peerTask.js'

interface PeerAgesWorld {
  askingPeer: PeerTask
  state: HostPingReply | undefined
}

const askedHost = { address: '10.1.0.1', host: 'asked', session: 'a' }
const askingHost = { address: '10.1.0.2', host: 'asking', session: 'b' }

function createPeer (clock: VirtualClock, own: typeof askedHost, peer: typeof askedHost, receivers: Map<string, ReceiveMessage>): PeerTask {
  return new PeerTask({
    clock,
    own,
    datagrams: {
      send: (_address: string, message: HostMessage) => receivers.get(peer.address)!(message, own),
      receive: receiveMessage => { receivers.set(own.address, receiveMessage) },
      close: () => {}
    },
    getStoreAgeMs: () => Infinity,
    getViewAgeMs: () => Infinity,
    confirmOutage: () => false,
    confirmExpiry: () => false,
    listServiceVersions: () => [],
    receiveAllocationMessage: () => {},
    receiveReservationReply: () => {},
    receiveReleaseConfirmation: () => {},
    receiveRenewal: () => {},
    receiveRenewalReply: () => {},
    receiveSuspectMessage: () => {},
    receiveLimitStatement: () => {},
    receiveStreamRecords: () => {},
    receiveStreamsSaved: () => {},
    receiveQuotaMessage: () => {}
  })
}

Given('a host that never reached the store and has run for {int} ms', function (this: PeerAgesWorld, uptimeMs: number) {
  const clock = new VirtualClock()
  const receivers = new Map<string, ReceiveMessage>()
  createPeer(clock, askedHost, askingHost, receivers)
  clock.runUntil(clock.readMonotonic() + uptimeMs)
  this.askingPeer = createPeer(clock, askingHost, askedHost, receivers)
})

When('a peer asks for its state', async function (this: PeerAgesWorld) {
  this.state = await this.askingPeer.pingHost(askedHost.address)
})

Then('it reports {} as the time since the last answer of the store', function (this: PeerAgesWorld, age: string) {
  assert.ok(this.state)
  assert.equal(this.state.storeAgeMs, age.trim() === 'nothing' ? undefined : Number.parseInt(age))
})
