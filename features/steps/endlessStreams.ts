/** Steps for streams of bytes without end. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { SseEventSplitter } from '../../src/core/sseEventSplitter.js'
import { encodeCallerRequestHeaders } from '../../src/platform/standinWire.js'
import { formatChunk } from '../../src/standin/fleet/endlessAnswer.js'
import type { EndlessFormName } from '../../src/standin/fleet/endlessAnswer.js'
import { fleetHost, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import { call, sendStreams, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface EndlessStreamsWorld extends HostsWorld {
  plainTimesMs: number[]
  givenUpAfter: number
  sent: Buffer
  relayed: Buffer
  defects: string[]
  passed: string[]
  bodyAnswer: BodyAnswer
}

/** What a caller of small pieces got, and the bytes of the body that it had sent by then. */
interface BodyAnswer {
  text: string
  sentBytes: number
}

const createSplitter = (): SseEventSplitter => new SseEventSplitter({ lastId: undefined, isContinued: false })

Given(/^(\d+) engines answer streams with endless (.+)$/, function (this: HostsWorld, count: string, endless: EndlessFormName) {
  for (const { server } of this.hostFleet.fleet.engines.slice(0, Number(count))) server.setFaults({ endless })
})

When('{int} streams for {int} adapters come to its hosts within {int} ms, and a plain request every {int} ms', async function (this: EndlessStreamsWorld, count: number, adapters: number, withinMs: number, gapMs: number) {
  const streams = sendStreams(this, count, adapters, withinMs)
  const plain: Promise<number>[] = []
  for (let index = 0; index < withinMs / gapMs; index++) {
    plain.push(this.hostFleet.call({ kind: 'once', host: 1 + index % this.hostFleet.hosts.length }).then(({ tookMs }) => tookMs))
    await sleep(gapMs)
  }
  await streams
  this.plainTimesMs = await Promise.all(plain)
})

Then('no plain request takes {int} ms', function (this: EndlessStreamsWorld, ms: number) {
  assert.deepEqual(this.plainTimesMs.filter(tookMs => tookMs >= ms).map(Math.round), [])
})

Then('each endless answer was closed after at most {int} MB', function (this: EndlessStreamsWorld, megabytes: number) {
  const answers = this.hostFleet.fleet.endpoints.flatMap(({ server }) => server.endlessBytes)
  assert.ok(answers.length > 0, 'there was none')
  assert.deepEqual(answers.filter(bytes => bytes > megabytes * 1e6), [])
})

When('a stream sends {int} bytes of {string} in pieces of {int} bytes', function (this: EndlessStreamsWorld, bytes: number, unit: string, piece: number) {
  const text = Buffer.alloc(bytes, unit.replaceAll('\\n', '\n').replaceAll('\\r', '\r'))
  const splitter = createSplitter()
  this.givenUpAfter = Infinity
  for (let start = 0; start < bytes; start += piece) {
    if (splitter.add(text.subarray(start, start + piece)).defect === undefined) continue
    this.givenUpAfter = start + piece
    return
  }
})

Then('it is given up after at most {int} bytes', function (this: EndlessStreamsWorld, limit: number) {
  assert.ok(this.givenUpAfter <= limit, `after ${this.givenUpAfter} bytes`)
})

/** An event whose text has this length in bytes. */
function formatEventOf (id: number, bytes: number): string {
  const start = `id: ${id}\ndata: `
  return `${start}${'x'.repeat(Math.max(1, bytes - start.length - 2))}\n\n`
}

When(/^a sound stream of (?:one event|(\d+) events) of (\d+) bytes, by (\d+) bytes is sent$/, function (this: EndlessStreamsWorld, count: string | null, bytes: string, piece: string) {
  this.sent = Buffer.from(Array.from({ length: Number(count ?? 1) }, (_, index) => formatEventOf(index + 1, Number(bytes))).join(''))
  const splitter = createSplitter()
  const results = []
  for (let start = 0; start < this.sent.length; start += Number(piece)) results.push(splitter.add(this.sent.subarray(start, start + Number(piece))))
  this.relayed = Buffer.concat(results.map(result => result.bytes))
  this.defects = results.flatMap(({ defect }) => defect ?? [])
})

Then('it is relayed whole', function (this: EndlessStreamsWorld) {
  assert.deepEqual(this.defects, [])
  assert.ok(this.relayed.equals(this.sent), `${this.relayed.length} of ${this.sent.length} bytes`)
})

Given('streams pause for {int} ms after their second event, with a comment every {int} ms', function (this: HostsWorld, silenceMs: number, commentMs: number) {
  setFaults(this, ({ engine }) => engine !== undefined, { silenceMs, commentMs })
})

When('{int} callers that leave after {int} ms without a byte send streams for adapter {string}', async function (this: HostsWorld, count: number, maxSilenceMs: number, adapter: string) {
  await Promise.all(Array.from({ length: count }, async (_, index) => await call(this, { kind: 'resumable', host: 1 + index % this.hostFleet.hosts.length, adapter, timeLeftMs: 5000, maxSilenceMs })))
})

Given('the endpoints of the plain services answer with endless {}', function (this: HostsWorld, endless: EndlessFormName) {
  setFaults(this, ({ engine }) => engine === undefined, { endless })
})

/** Sends a plain request whose body has this many bytes, each in a chunk of its own; Infinity for a body without end. */
async function sendSmallPieces ({ hostFleet }: HostsWorld, bytes: number): Promise<BodyAnswer> {
  const [host, port] = hostFleet.hosts[0]!.settings.callersAddress.split(':')
  const headers = Object.entries(encodeCallerRequestHeaders({ requestId: '00000000000000aa', host: fleetHost, timeLeftMs: 4000 })).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  const socket = connect(Number(port), host)
  const answer: BodyAnswer = { text: '', sentBytes: 0 }
  const pieces = Buffer.from(formatChunk('x').repeat(Math.min(bytes, 1000)))
  socket.write(`POST ${fleetPaths.once}x HTTP/1.1\r\n${headers}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`)
  const send = (): void => {
    while (answer.sentBytes < bytes && answer.text === '' && !socket.destroyed) {
      answer.sentBytes += 1000
      if (!socket.write(pieces)) return
    }
    if (answer.sentBytes >= bytes) socket.write('0\r\n\r\n')
  }
  await new Promise<void>(resolve => {
    socket.on('drain', send)
    socket.on('data', part => { answer.text += String(part) })
    socket.on('error', () => {})
    socket.on('close', () => resolve())
    send()
  })
  return answer
}

When('a caller sends a body in pieces of 1 byte without end', async function (this: EndlessStreamsWorld) {
  this.bodyAnswer = await sendSmallPieces(this, Infinity)
})

Then('it is refused with status {int} after at most {int} bytes', function (this: EndlessStreamsWorld, status: number, bytes: number) {
  assert.match(this.bodyAnswer.text, new RegExp(`^HTTP/1.1 ${status} `))
  assert.ok(this.bodyAnswer.sentBytes <= bytes, `${this.bodyAnswer.sentBytes} bytes`)
})

Then('a caller that sends {int} bytes in pieces of 1 byte is served', async function (this: HostsWorld, bytes: number) {
  const { text } = await sendSmallPieces(this, bytes)
  assert.match(text, /^HTTP\/1.1 200 /)
})

When('a stream sends a comment, an event, a comment and half an event', function (this: EndlessStreamsWorld) {
  const splitter = createSplitter()
  this.passed = [': a\n\n', 'id: 1\ndata: x\n\n', ': b\n\n', 'id: 2\nda'].map(text => splitter.add(Buffer.from(text)).bytes.toString())
})

Then('nothing is passed on with the first comment, and the second one at once', function (this: EndlessStreamsWorld) {
  assert.deepEqual(this.passed, ['', ': a\n\nid: 1\ndata: x\n\n', ': b\n\n', ''])
})
