/** Steps of callers that write several requests to a connection of a gateway before they have the answers. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Then, When } from '@cucumber/cucumber'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { readJournals } from '../support/processes.js'
import type { ProcessSystem } from '../support/processes.js'

interface GatewayStopsWorld {
  processes: ProcessSystem
  /** Ids of the requests that ran before these steps. */
  earlierIds: Set<string>
  /** What each connection has received. */
  received: string[]
}

const headEnd = '\r\n\r\n'
const settleMs = 500

function formatCompletion (isStream: boolean): string {
  const body = JSON.stringify({ model: 'cluj-tax', stream: isStream, max_tokens: 8, messages: [{ role: 'user', content: 'Is the claim valid?' }] })
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer ${exampleCallerKey}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}${headEnd}${body}`
}

/** Splits what a connection has received into answers; the last one may not be whole. */
function readAnswers (received: string): Array<{ id: string, status: number, isWhole: boolean }> {
  const answers = []
  let rest = received
  while (rest.includes(headEnd)) {
    const head = rest.slice(0, rest.indexOf(headEnd)).toLowerCase()
    rest = rest.slice(head.length + headEnd.length)
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
