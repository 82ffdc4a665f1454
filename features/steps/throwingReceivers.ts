/** Steps of receivers of responses that throw. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import type { EndpointLink, ResponseReceiver, SendFailure } from '../../src/ports/endpointLink.js'
import { waitUntil } from '../support/waitUntil.js'

interface ReceiversWorld {
  receiverServer: Server
  receiverSockets: Socket[]
  receiverLink: EndpointLink
  failures: SendFailure[]
  uncaught: Error[]
  recordUncaught: (error: Error) => void
}

const settleMs = 100
const answers: Readonly<Record<string, (socket: Socket) => void>> = Object.freeze({
  answers: socket => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody'),
  resets: socket => socket.resetAndDestroy(),
  'sends too much around its answer': socket => socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(10_000))
})

After(async function (this: Partial<ReceiversWorld>) {
  if (!this.receiverServer) return
  this.receiverLink!.close()
  for (const socket of this.receiverSockets!) socket.destroy()
  this.receiverServer.close()
  await sleep(settleMs)
  process.off('uncaughtException', this.recordUncaught!)
})

Given(/^a link to an endpoint that (answers|resets|sends too much around its answer)$/, async function (this: ReceiversWorld, sends: string) {
  this.uncaught = []
  this.recordUncaught = error => { this.uncaught.push(error) }
  process.on('uncaughtException', this.recordUncaught)
  this.receiverSockets = []
  this.receiverServer = createServer(socket => {
    this.receiverSockets.push(socket.on('error', () => {}))
    socket.once('data', () => answers[sends]!(socket))
  })
  await new Promise<void>(resolve => this.receiverServer.listen(0, '127.0.0.1', resolve))
  this.receiverLink = openHttpEndpointLink({ address: `127.0.0.1:${(this.receiverServer.address() as AddressInfo).port}`, getMaxConnections: () => 1, readNow: () => performance.now() })
})

When('a request is sent whose receiver throws in {word}', async function (this: ReceiversWorld, method: string) {
  this.failures = []
  const throwIn = (name: keyof ResponseReceiver): void => { if (name === method) throw new Error(`${method} failed`) }
  this.receiverLink.send({ id: 'r1', method: 'GET', path: '/', headers: ['host', 'x'], body: undefined }, {
    confirmSend: () => {
      throwIn('confirmSend')
      return true
    },
    receiveHead: () => throwIn('receiveHead'),
    receiveData: () => {
      throwIn('receiveData')
      return true
    },
    receiveEnd: () => throwIn('receiveEnd'),
    receiveFailure: failure => {
      if (!failure.exception) throwIn('receiveFailure')
      this.failures.push(failure)
    }
  })
  await sleep(settleMs)
})

Then('the receiver gets the exception as its only failure, and its connection is not in use', async function (this: ReceiversWorld) {
  assert.deepEqual(this.failures.map(({ exception }) => exception?.message.endsWith(' failed')), [true])
  await waitUntil(() => this.receiverLink.busy === 0)
})

Then('nothing is thrown outside of a call of the link', function (this: ReceiversWorld) {
  assert.deepEqual(this.uncaught, [])
})
