/** Steps of callers that go on with streams, or read one slowly, while a gateway or host stops. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { formatRawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { ProcessSystem } from '../support/processes.js'
import { createTestHandle, startTestListener } from '../support/testListener.js'
import type { TestListener } from '../support/testListener.js'
import { formatCompletion, readAnswers } from './gatewayStops.js'

interface StreamStopsWorld {
  processes: ProcessSystem
  /** From the start of the stop to its end, or to the time at which the callers have left. */
  stoppedAfterMs: number
  answersInStop: number
  slowlyRead: TestListener
  receivedBytes: number
  streamBytes: number
}

const settleMs = 500
/** From the start of the drain to the end of listening, and its longest time. */
const [quietMs, deadlineMs] = [300, 6000]
/** The listener has read the stream when it begins to drain. */
const readMs = 60
/** Callers leave after this time, so that the gateway can end. */
const maxStopMs = 8000

When('{int} callers go on sending streams to the gateway, each {int} ms after the end of the one before, and it stops', { timeout: 30_000 }, async function (this: StreamStopsWorld, count: number, gapMs: number) {
  const port = Number(new URL(this.processes.urls[0]!).port)
  const bytes = formatCompletion(true)
  let answers = 0
  const sockets = Array.from({ length: count }, () => {
    const socket = connect({ host: '127.0.0.1', port })
    let received = ''
    socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => {
      received += String(chunk)
      const [answer] = readAnswers(received)
      if (!answer?.isWhole) return
      answers++
      const isLast = /\r\nconnection: close\r\n/i.test(received)
      received = ''
      if (!isLast) setTimeout(() => { if (socket.writable) socket.write(bytes) }, gapMs)
    })
    socket.write(bytes)
    return socket
  })
  await sleep(settleMs)
  const answersBefore = answers
  const startedAtMs = performance.now()
  const stopped = this.processes.gateways[0]!.stop()
  await Promise.race([stopped, sleep(maxStopMs)])
  this.stoppedAfterMs = performance.now() - startedAtMs
  this.answersInStop = answers - answersBefore
  for (const socket of sockets) socket.destroy()
  await stopped
})

Then('the gateway has stopped within {int} ms', function (this: StreamStopsWorld, maxMs: number) {
  assert.ok(this.stoppedAfterMs <= maxMs, `${Math.round(this.stoppedAfterMs)} ms, with ${this.answersInStop} answers in this time`)
})

After(function (this: Partial<StreamStopsWorld>) {
  this.slowlyRead?.listener.close()
})

Given('a listener whose stream of {int} bytes begins after {int} ms and ends after {int} ms', async function (this: StreamStopsWorld, bytes: number, beginMs: number, endMs: number) {
  this.streamBytes = bytes
  this.slowlyRead = await startTestListener({
    createHandle: (_request, response) => createTestHandle(async () => {
      await sleep(beginMs)
      response.writeHead(200, ['Content-Type', 'text/event-stream'])
      response.write(Buffer.alloc(1, 'x'), () => {})
      await sleep(endMs - beginMs)
      response.write(Buffer.alloc(bytes - 1, 'x'), () => {})
      response.end()
    }, { receiveStop: () => response.refuse(503) })
  })
})

When('a caller that reads nothing for {int} ms sends a stream to the listener, which begins to drain, and a request after {int} ms', async function (this: StreamStopsWorld, readAfterMs: number, requestAfterMs: number) {
  const { listener, address } = this.slowlyRead
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port) })
  this.receivedBytes = 0
  const closed = new Promise<void>(resolve => socket.on('error', () => {}).on('close', () => resolve()))
  socket.on('data', chunk => { this.receivedBytes += chunk.length })
  socket.pause()
  socket.write(formatRawRequest({ kind: 'stream' }))
  await sleep(readMs)
  listener.disableKeepAlive()
  const drained = listener.drain(quietMs, deadlineMs)
  await sleep(requestAfterMs - readMs)
  socket.write(formatRawRequest({ kind: 'once' }))
  await sleep(readAfterMs - requestAfterMs)
  socket.resume()
  await Promise.all([closed, drained])
})

Then('the caller has received the whole stream', function (this: StreamStopsWorld) {
  assert.ok(this.receivedBytes >= this.streamBytes, `${this.receivedBytes} of ${this.streamBytes} bytes`)
})
