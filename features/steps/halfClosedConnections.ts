/** Steps of callers that end their side of a connection and read on. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Then, When } from '@cucumber/cucumber'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest, RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface HalfClosedWorld extends HostsWorld {
  rawAnswers: RawAnswer[]
  halfClosedText: string
  halfClosedMs: number
  /** Set by the steps of a listener without a host. */
  endsAddress: string
  cancelled: string[]
  leftAtMs: number
}

const partialRequests: Readonly<Record<string, string>> = Object.freeze({
  'half a head': 'GET /half HT',
  'half a body': 'POST /half HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc',
  'half a body of a request with Connection: close': 'POST /half HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 100\r\n\r\nabc',
  'bytes that are no request': 'no request at all\r\n\r\n'
})
const answerTimeoutMs = 5000
const requestTimeLeftMs = 12_000

function getAddress (world: HalfClosedWorld): string {
  return world.hostFleet.hosts[0]!.settings.callersAddress
}

/** Expands "70 times once" as well as lists of kinds. */
function expandKinds (kinds: string): string[] {
  const [, count, kind] = /^(\d+) times (.+)$/.exec(kinds) ?? []
  return kind === undefined ? kinds.split(', ') : Array.from({ length: Number(count) }, () => kind)
}

async function sendAndEnd (world: HalfClosedWorld, kinds: string, laterMs: number): Promise<void> {
  const caller = await RawCaller.open(getAddress(world))
  const answers = caller.send(expandKinds(kinds).map(kind => ({ kind: kind as CallKind, adapter: 'a1', timeLeftMs: requestTimeLeftMs })))
  if (laterMs > 0) await sleep(laterMs)
  caller.endSide()
  world.rawAnswers.push(...await answers)
}

/** Writes bytes, ends this side of the connection and reads to the end of the other one. */
async function exchangeText (world: HalfClosedWorld, bytes: string): Promise<void> {
  const startedAtMs = performance.now()
  const [host, port] = getAddress(world).split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  world.halfClosedText = ''
  socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => { world.halfClosedText += String(chunk) })
  await once(socket, 'connect')
  socket.end(bytes)
  await Promise.race([once(socket, 'close'), once(socket, 'end'), sleep(answerTimeoutMs)])
  world.halfClosedMs = performance.now() - startedAtMs
  socket.destroy()
}

/** Statuses of whole responses; interim ones are left out. */
function listStatuses (world: HalfClosedWorld): number[] {
  return [...world.halfClosedText.matchAll(/HTTP\/1\.1 (\d+) /g)].map(match => Number(match[1])).filter(status => status >= 200)
}

When(/^(\d+) callers send (.+) at once and end their side (at once|\d+ ms later)(?:, while (plain requests take \d+ ms|streams take \d+ ms an event|host 1 stops))?$/, { timeout: 20_000 }, async function (this: HalfClosedWorld, count: string, kinds: string, when: string, event: string | null) {
  const takesMs = /take (\d+) ms/.exec(event ?? '')?.[1]
  if (takesMs) setFaults(this, () => true, event!.startsWith('streams') ? { eventMs: Number(takesMs) } : { extraMs: Number(takesMs) })
  const laterMs = when === 'at once' ? 0 : Number.parseInt(when, 10)
  const sending = Array.from({ length: Number(count) }, async () => await sendAndEnd(this, kinds, laterMs))
  if (event === 'host 1 stops') {
    await sleep(20)
    await this.hostFleet.stopHost(this.hostFleet.hosts[0]!)
  }
  await Promise.all(sending)
})

Then('each of these requests is answered whole', function (this: HalfClosedWorld) {
  assert.deepEqual(this.rawAnswers.filter(answer => !isWhole(answer)), [])
})

When('a caller sends a request and {}, and ends its side', async function (this: HalfClosedWorld, what: string) {
  await exchangeText(this, formatRawRequest({ kind: 'once' }) + partialRequests[what]!)
})

Then('it gets status {int} and then {int}', function (this: HalfClosedWorld, first: number, second: number) {
  assert.deepEqual(listStatuses(this), [first, second], this.halfClosedText)
})

When('a caller sends a request, ends its side, and leaves {int} ms later', async function (this: HalfClosedWorld, ms: number) {
  const [host, port] = this.endsAddress.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  await once(socket, 'connect')
  socket.resume().end('GET /first HTTP/1.1\r\nhost: x\r\n\r\n')
  await sleep(ms)
  assert.deepEqual(this.cancelled, [])
  socket.destroy()
  this.leftAtMs = performance.now()
})

Then('the request is cancelled within {int} ms', async function (this: HalfClosedWorld, ms: number) {
  await waitUntil(() => this.cancelled.length > 0)
  assert.ok(performance.now() - this.leftAtMs <= ms, `${performance.now() - this.leftAtMs} ms`)
})

When(/^a caller of HTTP\/(1\.\d) sends a request that may (be repeated|run only once) and takes (\d+) ms, and ends its side after (\d+) ms$/, async function (this: HalfClosedWorld, version: string, kind: string, takesMs: string, afterMs: string) {
  setFaults(this, endpoint => endpoint.engine === undefined, { extraMs: Number(takesMs) })
  const request = formatRawRequest({ kind: kind === 'be repeated' ? 'idempotent' : 'once' }).replace('HTTP/1.1', `HTTP/${version}`)
  const [host, port] = getAddress(this).split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  await once(socket, 'connect')
  this.halfClosedText = ''
  socket.setEncoding('latin1').on('data', chunk => { this.halfClosedText += String(chunk) })
  socket.write(request)
  await waitUntil(() => this.hostFleet.fleet.journal.runs.some(run => run.outcome === 'running'))
  await sleep(Number(afterMs))
  const startedAtMs = performance.now()
  socket.end()
  await Promise.race([once(socket, 'end'), sleep(answerTimeoutMs)])
  this.halfClosedMs = performance.now() - startedAtMs
  socket.destroy()
})

Then('it gets status {int} within {int} ms', function (this: HalfClosedWorld, status: number, ms: number) {
  assert.deepEqual(listStatuses(this), [status], this.halfClosedText)
  assert.ok(this.halfClosedMs <= ms, `${this.halfClosedMs} ms`)
})
