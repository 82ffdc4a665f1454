/** Steps of what hosts tell each other of the store. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { ReceiveMessage } from '../../src/ports/datagrams.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { PeerTask } from '../../src/tasks/peers/peerTask.js'
import type { HostState } from '../../src/tasks/peers/peerTask.js'

interface PeerAgesWorld {
  asker: PeerTask
  state: HostState | undefined
}

const asked = { address: '10.1.0.1', host: 'asked', session: 'a' }
const asking = { address: '10.1.0.2', host: 'asking', session: 'b' }

function createPeer (clock: VirtualClock, own: typeof asked, peer: typeof asked, wires: Map<string, ReceiveMessage>): PeerTask {
  return new PeerTask({
    clock,
    own,
    datagrams: {
      send: (_address: string, message: HostMessage) => wires.get(peer.address)!(message, own),
      receive: receiveMessage => { wires.set(own.address, receiveMessage) },
      close: () => {}
    },
    readStoreAgeMs: () => Infinity,
    receiveAtDesk: () => {},
    receiveAnswer: () => {},
    receiveConfirmation: () => {},
    receiveRenewal: () => {},
    receiveRenewalReply: () => {},
    receiveSuspect: () => {}
  })
}

Given('a host that never reached the store and has run for {int} ms', function (this: PeerAgesWorld, upMs: number) {
  const clock = new VirtualClock()
  const wires = new Map<string, ReceiveMessage>()
  createPeer(clock, asked, asking, wires)
  clock.runUntil(clock.readMonotonic() + upMs)
  this.asker = createPeer(clock, asking, asked, wires)
})

When('a peer asks how it is', async function (this: PeerAgesWorld) {
  this.state = await this.asker.askHost(asked.address)
})

Then('it tells {} as the age of the store\'s word', function (this: PeerAgesWorld, told: string) {
  assert.ok(this.state)
  assert.equal(this.state.storeAgeMs, told.trim() === 'nothing' ? undefined : Number.parseInt(told))
})
