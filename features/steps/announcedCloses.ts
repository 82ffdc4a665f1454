/** Steps of endpoints that announce the close of their connections and leave it to the client. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { HttpServiceClient } from '../../src/adapters/httpService/httpServiceClient.js'
import { OpenaiEngine } from '../../src/adapters/openaiEngine/openaiEngine.js'

interface ClosesWorld {
  closing: { server: Server, sockets: Socket[], address: string, requestsByConnection: number[], answered: number } | undefined
}

/** Sends one request; resolves to whether it was answered. */
type SendOne = () => Promise<boolean>

const requestHead = /(GET|POST) \S+ HTTP\/1\.1/g

Given('an endpoint that announces the close with each response, and ignores what follows', async function (this: ClosesWorld) {
  const [sockets, requestsByConnection]: [Socket[], number[]] = [[], []]
  const server = createServer({ allowHalfOpen: true }, socket => {
    const index = sockets.push(socket) - 1
    requestsByConnection.push(0)
    let received = ''
    socket.setEncoding('latin1').on('error', () => {}).on('data', text => {
      const isFirst = received === ''
      received += String(text)
      requestsByConnection[index] = received.match(requestHead)?.length ?? 0
      if (isFirst) socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}')
    })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  this.closing = { server, sockets, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, requestsByConnection, answered: 0 }
})

After(function (this: ClosesWorld) {
  for (const socket of this.closing?.sockets ?? []) socket.destroy()
  this.closing?.server.close()
})

function createSend (part: string, address: string): { send: SendOne, close: () => unknown } {
  if (part === 'plain services') {
    const client = new HttpServiceClient()
    const call = { requestId: 'r', attempt: 1, method: 'POST', path: '/', headers: {}, body: Buffer.from('{}') }
    return { send: async () => (await client.call(address, call, new AbortController().signal)).type === 'answered', close: async () => await client.close() }
  }
  if (part === 'engines') {
    const engine = new OpenaiEngine()
    const order = { requestId: 'r', attempt: 1, handle: 'a@1#1.1', model: 'a@1', priority: 1, path: '/v1/completions', body: '{}', isStream: false }
    const send: SendOne = async () => await new Promise(resolve => {
      engine.generate(address, order, ({ type }) => { if (type !== 'data') resolve(type === 'end') }, () => true)
    })
    return { send, close: async () => await engine.close() }
  }
  const link = openHttpEndpointLink({ address, getMaxConnections: () => 4, readNow: () => performance.now() })
  const request = { id: undefined, method: 'POST', path: '/', headers: [], body: Buffer.from('{}') }
  const send: SendOne = async () => await new Promise(resolve => {
    link.send(request, { confirmSend: () => true, receiveHead: () => {}, receiveData: () => true, receiveEnd: () => resolve(true), receiveFailure: () => resolve(false) })
  })
  return { send, close: () => link.close() }
}

When(/^the client of (endpoints and hosts|plain services|engines) sends (\d+) requests, each as soon as it has the response before$/, async function (this: ClosesWorld, part: string, count: string) {
  const { send, close } = createSend(part, this.closing!.address)
  for (let sent = 0; sent < Number(count); sent++) if (await send()) this.closing!.answered++
  await close()
})

Then('each of the {int} requests is answered', function (this: ClosesWorld, count: number) {
  assert.equal(this.closing!.answered, count)
})

Then('no connection has brought the endpoint more than {int} request', function (this: ClosesWorld, most: number) {
  const { requestsByConnection } = this.closing!
  assert.equal(Math.max(...requestsByConnection), most, requestsByConnection.join())
})
