/** Steps of callers that write several requests to a connection of a gateway before they have the answers. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Then, When } from '@cucumber/cucumber'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { readJournals } from '../support/processes.js'
import type { ProcessSystem } from '../support/processes.js'
import { waitUntil } from '../support/waitUntil.js'

interface GatewayStopsWorld {
  processes: ProcessSystem
  /** Ids of the requests that ran before these steps. */
  earlierIds: Set<string>
  /** What each connection has received. */
  received: string[]
}

const headEnd = '\r\n\r\n'
const settleMs = 500
const shortTokens = 8
/** A step of the engine takes 4 ms or more. */
const longTokens = 250
const longerTokens = 2500
/** Later than callers end their side that do so with each request. */
const lateEndMs = 300

export function formatCompletion (isStream: boolean, maxTokens = shortTokens): string {
  const body = JSON.stringify({ model: 'cluj-tax', stream: isStream, max_tokens: maxTokens, messages: [{ role: 'user', content: 'Is the claim valid?' }] })
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer ${exampleCallerKey}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}${headEnd}${body}`
}

/** Splits what a connection has received into answers, without interim ones; the last one may not be whole. */
export function readAnswers (received: string): Array<{ id: string, status: number, isWhole: boolean }> {
  const answers = []
  let rest = received
  while (rest.includes(headEnd)) {
    const head = rest.slice(0, rest.indexOf(headEnd)).toLowerCase()
    rest = rest.slice(head.length + headEnd.length)
    if (head.startsWith('http/1.1 100 ')) continue
    const isChunked = head.includes('transfer-encoding: chunked')
    const lastChunk = rest.indexOf(`0${headEnd}`)
    const length = isChunked ? lastChunk + 1 + headEnd.length : Number(/content-length: (\d+)/.exec(head)?.[1] ?? 0)
    const isWhole = isChunked ? lastChunk >= 0 : rest.length >= length
    answers.push({ id: /sedgevalve-request-id: (\S+)/.exec(head)?.[1] ?? '', status: Number(head.split(' ')[1]), isWhole })
    if (!isWhole) break
    rest = rest.slice(length)
  }
  return answers
}

/** Writes `bytes`, ends this side of the connection after `endAfterMs`, and returns what was received until the gateway ended its own. */
async function sendAndEndSide (url: string, bytes: string, endAfterMs: number): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(url).port), allowHalfOpen: true })
  let received = ''
  socket.setEncoding('latin1').on('data', chunk => { received += String(chunk) })
  socket.write(bytes)
  if (endAfterMs > 0) await sleep(endAfterMs)
  socket.end()
  await new Promise<void>(resolve => socket.on('end', () => resolve()).on('close', () => resolve()).on('error', () => {}))
  socket.destroy()
  return received
}

async function listRunIds ({ engines }: ProcessSystem): Promise<Set<string>> {
  const journals = await readJournals(engines)
  return new Set(journals.flat().filter(({ kind }) => kind === 'started').map(({ requestId }) => requestId))
}

/** Writes `bytes`, again whenever `count` more answers are whole, until the gateway ends the connection; returns what was received. */
async function sendUntilClosed (url: string, bytes: string, count: number, isRepeated: boolean): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(url).port), allowHalfOpen: true })
  let [received, due] = ['', count]
  socket.setEncoding('latin1').on('data', chunk => {
    received += String(chunk)
    if (!isRepeated || readAnswers(received).filter(({ isWhole }) => isWhole).length < due) return
    due += count
    socket.write(bytes)
  })
  socket.write(bytes)
  await new Promise<void>(resolve => socket.on('end', () => socket.destroy()).on('close', () => resolve()).on('error', () => {}))
  return received
}

When(/^4 connections go on sending (\d+) (completion|stream)s? at once to the gateway, and it stops$/, { timeout: 30_000 }, async function (this: GatewayStopsWorld, count: string, kind: string) {
  this.earlierIds = await listRunIds(this.processes)
  const bytes = formatCompletion(kind === 'stream').repeat(Number(count))
  const connections = Array.from({ length: 4 }, async () => await sendUntilClosed(this.processes.urls[0]!, bytes, Number(count), true))
  await sleep(settleMs)
  await this.processes.gateways[0]!.stop()
  this.received = await Promise.all(connections)
})

When('a connection sends a completion, and bytes behind it that are no request', async function (this: GatewayStopsWorld) {
  this.earlierIds = await listRunIds(this.processes)
  this.received = [await sendUntilClosed(this.processes.urls[0]!, `${formatCompletion(false)}no request at all${headEnd}`, 1, false)]
})

Then('no request that ran is without a whole answer', async function (this: GatewayStopsWorld) {
  await sleep(settleMs)
  const answered = new Set(this.received.flatMap(readAnswers).filter(({ isWhole }) => isWhole).map(({ id }) => id))
  const ran = [...await listRunIds(this.processes)].filter(id => !this.earlierIds.has(id))
  assert.ok(ran.length > 0)
  const lost = ran.filter(id => !answered.has(id))
  assert.equal(lost.length, 0, `${lost.length} of ${ran.length} requests that ran are lost`)
})

Then('the connection ends with status {int} after the answer', function (this: GatewayStopsWorld, status: number) {
  assert.deepEqual(readAnswers(this.received[0]!).map(answer => answer.status), [200, status])
})

When(/^a caller sends (\d+) (long )?(completion|stream)s? at once to the gateway, and ends its side (at once|in its run)$/, async function (this: GatewayStopsWorld, count: string, long: string | null, kind: string, when: string) {
  this.earlierIds = await listRunIds(this.processes)
  const bytes = formatCompletion(kind === 'stream', long ? longTokens : shortTokens).repeat(Number(count))
  this.received = [await sendAndEndSide(this.processes.urls[0]!, bytes, when === 'at once' ? 0 : lateEndMs)]
})

When('a caller sends 1 long completion to the gateway, ends its side and leaves', async function (this: GatewayStopsWorld) {
  this.earlierIds = await listRunIds(this.processes)
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(this.processes.urls[0]!).port) })
  socket.on('error', () => {}).write(formatCompletion(false, longerTokens))
  await waitUntil(async () => (await listRunIds(this.processes)).size > this.earlierIds.size)
  socket.destroy()
})

Then('the request that ran is cancelled within {int} ms', async function (this: GatewayStopsWorld, maxMs: number) {
  const startedAtMs = performance.now()
  await waitUntil(async () => (await readJournals(this.processes.engines)).flat().some(({ kind }) => kind === 'cancelled'))
  const elapsedMs = performance.now() - startedAtMs
  assert.ok(elapsedMs <= maxMs, `it was cancelled after ${elapsedMs} ms`)
})

Then('the caller has {int} answer(s), each with status {int}', function (this: GatewayStopsWorld, count: number, status: number) {
  assert.deepEqual(readAnswers(this.received[0]!).filter(({ isWhole }) => isWhole).map(answer => answer.status), Array.from({ length: count }, () => status))
})
