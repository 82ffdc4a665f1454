/** Steps of connections to endpoints that are idle for a while. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import type { EndpointLink } from '../../src/ports/endpointLink.js'

interface IdleWorld {
  announcing: { server: Server, sockets: Socket[] } | undefined
  answered: number
}

Given('an endpoint that announces a keep-alive timeout of {int} s', async function (this: IdleWorld, announcedS: number) {
  const sockets: Socket[] = []
  // The endpoint itself closes no connection, so that only the link decides.
  const server = createServer({ keepAliveTimeout: 0 }, (_, response) => {
    if (announcedS > 0) response.setHeader('keep-alive', `timeout=${announcedS}`)
    response.end('{}')
  })
  server.on('connection', socket => { sockets.push(socket) }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  this.announcing = { server, sockets }
  this.answered = 0
})

After(function (this: IdleWorld) {
  for (const socket of this.announcing?.sockets ?? []) socket.destroy()
  this.announcing?.server.close()
})

When(/^two requests that (may|may not) be sent again are sent to it, (\d+) ms apart$/, async function (this: IdleWorld, retries: string, idleMs: string) {
  const address = `127.0.0.1:${(this.announcing!.server.address() as AddressInfo).port}`
  const link = openHttpEndpointLink({ address, getMaxConnections: () => 4, readNow: () => performance.now() })
  if (await isAnswered(link, 'first', retries === 'may')) this.answered++
  await sleep(Number(idleMs))
  if (await isAnswered(link, 'second', retries === 'may')) this.answered++
  link.close()
})

async function isAnswered (link: EndpointLink, id: string, isRetryable: boolean): Promise<boolean> {
  return await new Promise(resolve => {
    link.send({ id, isRetryable, method: 'POST', path: '/', headers: ['host', 'x'], body: Buffer.from('{}') }, {
      confirmSend: () => true, receiveHead: () => {}, receiveData: () => true, receiveEnd: () => resolve(true), receiveFailure: () => resolve(false)
    })
  })
}

Then(/^both are answered, the second one on (the same|a new) connection$/, function (this: IdleWorld, connection: string) {
  assert.equal(this.answered, 2)
  assert.equal(this.announcing!.sockets.length, connection === 'a new' ? 2 : 1)
})
