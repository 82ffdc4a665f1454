import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openUdpDatagrams } from '../../src/adapters/datagrams/udpDatagrams.js'
import type { Datagrams } from '../../src/ports/datagrams.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { hostsBasePort } from '../support/testPorts.js'
import { waitUntil } from '../support/waitUntil.js'

interface DatagramsWorld {
  sockets: Datagrams[]
  received: string[]
  loggedKinds: string[]
}

const addresses = ['127.0.0.1', '127.0.0.2']
const settleMs = 50

function createMessage (fingerprint: string): HostMessage {
  return { type: 'suspect', fingerprint, crashes: [] }
}

After(function (this: DatagramsWorld) {
  this.sockets?.at(1)?.close()
})

Given('two hosts that exchange datagrams', async function (this: DatagramsWorld) {
  this.received = []
  this.loggedKinds = []
  this.sockets = await Promise.all(addresses.map(async address => await openUdpDatagrams({ address, port: hostsBasePort, host: address, session: 'life', log: { record: kind => { this.loggedKinds.push(kind) } } })))
  this.sockets[1]!.receive(message => { if (message.type === 'suspect') this.received.push(message.fingerprint) })
})

When('the first one sends {string}, closes its socket and sends {string}', async function (this: DatagramsWorld, before: string, after: string) {
  const [first] = this.sockets
  first!.send(addresses[1]!, createMessage(before))
  first!.close()
  first!.send(addresses[1]!, createMessage(after))
  await sleep(settleMs)
})

When('the first one sends {string}, a message with a number that is not finite, and {string} at once', async function (this: DatagramsWorld, before: string, after: string) {
  const [first] = this.sockets
  for (const message of [createMessage(before), { ...createMessage('unreadable'), sentAgoMs: Infinity }, createMessage(after)]) first!.send(addresses[1]!, message)
  await sleep(settleMs)
  first!.close()
})

Then('the second one has received {string} and logged {int} message that it cannot read', async function (this: DatagramsWorld, texts: string, count: number) {
  await waitUntil(() => this.loggedKinds.length > 0)
  assert.deepEqual([this.received.join(', '), this.loggedKinds.filter(kind => kind === 'peers.unreadable').length], [texts, count])
})

Then('the second one has received only {string}', async function (this: DatagramsWorld, text: string) {
  await waitUntil(() => this.received.length > 0)
  assert.deepEqual(this.received, [text])
})
