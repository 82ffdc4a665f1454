/** Steps of endpoints that stop in the middle of the heads of their answers. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import type { EndpointLink } from '../../src/ports/endpointLink.js'
import { setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface CutHeadsWorld {
  /** What became of each answer, by what arrived of its head. */
  outcomes: Map<string, string[]>
}

const wholeAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const heads: Record<string, string> = {
  'a length': 'HTTP/1.1 200 OK\r\nserver: x\r\ncontent-length: 0\r\n\r\n',
  chunks: 'HTTP/1.1 200 OK\r\nserver: x\r\ntransfer-encoding: chunked\r\n\r\n',
  'the connection\'s end': 'HTTP/1.1 200 OK\r\nconnection: close\r\nserver: x\r\n\r\n',
  'an interim head before': 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'
}

When(/^half of all answers stop in the middle of their head, and are (closed|reset)$/, function (this: HostsWorld, ended: string) {
  this.answers = []
  setFaults(this, () => true, { headCuts: 0.5, resetsHeads: ended === 'reset' })
})

Then('at least {int} heads were cut', function (this: HostsWorld, cut: number) {
  assert.ok(this.hostFleet.fleet.journal.runs.filter(({ outcome }) => outcome === 'broken').length >= cut)
})

Given('a link with a connection that has carried a whole answer', function (this: CutHeadsWorld) { this.outcomes = new Map() })

/** Answers the first request on each connection, and writes part of a head to the second. */
async function startCuttingServer (part: string, end: (socket: Socket) => void): Promise<Server> {
  const server = createServer(socket => {
    let requests = 0
    socket.on('error', () => {})
    socket.on('data', () => {
      if (requests++ === 0) socket.write(wholeAnswer)
      else socket.write(part, () => end(socket))
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return server
}

async function receiveOutcome (link: EndpointLink, id: string): Promise<string[]> {
  const received: string[] = []
  return await new Promise(resolve => {
    link.send({ id, method: 'GET', path: '/', headers: ['host', 'x'], body: undefined }, {
      confirmSend: () => true,
      receiveHead: () => { received.push('head') },
      receiveData: () => true,
      receiveEnd: () => resolve([...received, 'end']),
      receiveFailure: ({ kind }) => resolve([...received, kind])
    })
  })
}

When(/^the next answers are heads with (.+) that stop at each place, and are (closed|reset)$/, { timeout: 30_000 }, async function (this: CutHeadsWorld, framing: string, ended: string) {
  const head = heads[framing]!
  for (let length = 1; length < head.length; length++) {
    const part = head.slice(0, length)
    const server = await startCuttingServer(part, socket => { ended === 'closed' ? socket.end() : socket.resetAndDestroy() })
    const link = openHttpEndpointLink({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, getMaxConnections: () => 1, readNow: () => performance.now() })
    assert.deepEqual(await receiveOutcome(link, 'first'), ['head', 'end'])
    this.outcomes.set(part, await receiveOutcome(link, 'second'))
    link.close()
    server.close()
  }
})

Then('each of them counts as lost', function (this: CutHeadsWorld) {
  assert.deepEqual([...this.outcomes].filter(([, outcome]) => outcome.join() !== 'lost'), [])
  assert.ok(this.outcomes.size > 0)
})
