/** Steps of who may come in, and of what is not a request at all. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import grpc from '@grpc/grpc-js'
import { grpcPeerTransport } from '../../src/adapters/peerLink/grpcPeerLink.js'
import { encodeBatch, linkMethod, peerKeyHeader } from '../../src/adapters/peerLink/linkMethod.js'
import { exampleCallerKey, exampleOperatorKey } from '../../src/bin/exampleRecords.js'
import type { KeyRecord } from '../../src/schemas/configuration.js'
import type { SchedulerEntry } from '../../src/schemas/hostList.js'
import type { PeerMessage } from '../../src/schemas/peerMessage.js'
import { hashKey } from '../../src/tasks/gateway/callerAccess.js'
import { halfRequest } from '../support/halfRequest.js'
import { getSession } from '../support/operatorSession.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

/** Of what one process shows of itself in this small system. */
const maxStateBytes = 256 * 1024

interface AccessWorld extends SystemWorld {
  strangersMessages: PeerMessage[]
  response: string
  isLinkClosed: boolean
}

async function findScheduler (world: SystemWorld): Promise<SchedulerEntry> {
  const { hostList } = world.playground!.standins.platform
  const find = async (): Promise<SchedulerEntry | undefined> =>
    (await hostList.listEntries()).find((entry): entry is SchedulerEntry => entry.kind === 'scheduler')
  await waitUntil(async () => await find() !== undefined)
  return (await find())!
}

Given('key {string} is registered for a(n) {word}', async function (this: SystemWorld, key: string, role: 'caller' | 'operator') {
  const record: KeyRecord = { kind: 'key', name: 'second', role, hash: hashKey(key), adapters: ['*'], services: ['*'], classes: ['*'] }
  const result = await this.playground!.gateways[0]!.configuration.changeRecords({ puts: [record], removes: [], ifVersions: [] })
  assert.equal(result.type, 'accepted')
})

When('somebody asks the callers\' port with key {string}', async function (this: AccessWorld, key: string) {
  await this.call('/v1/models', undefined, { authorization: `Bearer ${key}` })
})

When('a stranger opens a link to the scheduler with key {string}', async function (this: AccessWorld, key: string) {
  const entry = await findScheduler(this)
  this.strangersMessages = []
  await new Promise<void>(resolve => {
    grpcPeerTransport.open({
      address: entry.address,
      hostId: entry.id,
      key,
      hello: { type: 'hello', hostId: 'stranger', role: 'gateway', zone: 'az-1', version: '0' },
      events: { receive: (_link, message) => this.strangersMessages.push(message), closed: () => resolve() }
    })
  })
})

Then('the link is closed and the stranger has received nothing', function (this: AccessWorld) {
  assert.deepEqual(this.strangersMessages, [])
})

async function sendAsPeer (world: AccessWorld, bytes: Uint8Array): Promise<void> {
  const entry = await findScheduler(world)
  const client = new grpc.Client(entry.address, grpc.credentials.createInsecure())
  const metadata = new grpc.Metadata()
  metadata.set(peerKeyHeader, 'playground-peer-key')
  const stream = client.makeBidiStreamRequest<Uint8Array, unknown>(linkMethod.path, message => Buffer.from(message), answer => answer, metadata)
  const closed = new Promise<void>(resolve => stream.on('status', () => resolve()))
  stream.on('error', () => {})
  stream.on('data', () => {})
  stream.write(bytes)
  await closed
  world.isLinkClosed = true
  client.close()
}

When('a peer with the right key sends {string}', async function (this: AccessWorld, text: string) {
  await sendAsPeer(this, Buffer.from(text))
})

When('a peer with the right key sends a message before its hello', async function (this: AccessWorld) {
  await sendAsPeer(this, encodeBatch([{ type: 'cancel', requestId: 'req-1', attempt: 1 }]))
})

Then('its link is closed', function (this: AccessWorld) {
  assert.ok(this.isLinkClosed)
})

When(/^somebody writes (.*) to the (operators|callers)' port$/, async function (this: AccessWorld, text: string, which: string) {
  const gateway = this.playground!.gateways[0]!
  const port = which === 'operators' ? gateway.operatorsPort : gateway.callersPort
  const bytes = /of (\d+) bytes/.exec(text)?.[1]
  const socket = connect(port, '127.0.0.1')
  this.response = ''
  socket.on('data', part => { this.response += String(part) })
  if (text === 'half a body') socket.write(halfRequest)
  else socket.write(bytes === undefined ? `${text}\r\n\r\n` : `GET / HTTP/1.1\r\nx-long: ${'x'.repeat(Number(bytes))}\r\n\r\n`)
  await new Promise<void>(resolve => socket.on('close', () => resolve()))
})

Then('the connection is answered with status {int} and ended', function (this: AccessWorld, status: number) {
  assert.ok(this.response.startsWith(`HTTP/1.1 ${status} `), this.response)
})

When('a caller asks for {int} tokens from an adapter with a name of {int} letters', async function (this: AccessWorld, tokens: number, letters: number) {
  await this.call('/v1/completions', { model: 'x'.repeat(letters), max_tokens: tokens, prompt: 'Hello' })
})

Then('the gateway keeps less than {int} bytes of decisions', async function (this: AccessWorld, bytes: number) {
  const dump = await getSession(this).send('GET', '/api/dump/gateway-1', exampleOperatorKey) as { decisions: { bytes: number, decisions: number } }
  assert.ok(dump.decisions.decisions > 0)
  assert.ok(dump.decisions.bytes < bytes, String(dump.decisions.bytes))
})

Then('no state that a host shows holds a key that is set or registered, or {string}', async function (this: SystemWorld, stranger: string) {
  const session = getSession(this)
  const registered = this.playground!.gateways[0]!.configuration.listVersioned('key', '', 1000).flatMap(({ record }) => record.kind === 'key' ? [record.hash] : [])
  assert.ok(registered.length >= 2)
  const keys = ['playground-peer-key', exampleCallerKey, exampleOperatorKey, 'sv-second-operator', stranger]
  const secrets = [...registered, ...keys, ...keys.map(key => hashKey(key))]
  for (const path of ['/api/dump/gateway-1', '/api/dump/scheduler-1', '/api/status', '/api/decisions']) {
    await session.send('GET', path, exampleOperatorKey)
    assert.equal(session.status, 200, session.text)
    assert.ok(session.text.length < maxStateBytes, `${path} has ${session.text.length} bytes`)
    for (const secret of secrets) assert.ok(!session.text.includes(secret), `${path} holds "${secret}"`)
    assert.doesNotMatch(session.text, /"\w*(?:key|hash|secret|password)":"/i, path)
  }
})
