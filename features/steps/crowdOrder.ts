/** Steps of ordinary requests behind a crowd: what is read of the crowd between the arrival of one and its reading. */
import assert from 'node:assert/strict'
import { Worker } from 'node:worker_threads'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import { formatRawRequest } from '../../src/standin/fleet/rawCaller.js'
import { CallerListener } from '../../src/tasks/proxy/callerListener.js'
import { findFreePort } from '../support/findFreePort.js'

interface CrowdOrderWorld {
  orderedListener: CallerListener
  listenerAddress: string
  /** Bytes of the crowd's bodies that were read, and those read by the time at which the ordinary request was sent. */
  readBytes: Int32Array
  receiveOrdinary: (readBytes: number) => void
  crowdWorker: Worker
  readBetween: number
}

const ordinaryKind = 'idempotent'
/** Opens the crowd's connections from a thread of its own, so that this one is busy with reading. */
const crowdSource = `
const { workerData: { host, port, count, head, ordinary, shared } } = require('node:worker_threads')
const { connect } = require('node:net')
const readBytes = new Int32Array(shared)
const open = bytes => new Promise(resolve => {
  const socket = connect({ host, port }, () => socket.write(bytes, resolve))
  socket.on('error', () => {}).resume()
})
const chunks = '1\\r\\nx\\r\\n'.repeat(60000)
// A write resolves when the system has taken it, which may be never.
const crowd = Array.from({ length: count }, () => open(head + chunks))
setTimeout(async () => {
  Atomics.store(readBytes, 1, Atomics.load(readBytes, 0))
  await open(ordinary)
}, 200)
`

After(async function (this: Partial<CrowdOrderWorld>) {
  await this.crowdWorker?.terminate()
  this.orderedListener?.close()
})

Given('a listener in this process', async function (this: CrowdOrderWorld) {
  this.listenerAddress = `127.0.0.1:${await findFreePort()}`
  this.readBytes = new Int32Array(new SharedArrayBuffer(8))
  this.receiveOrdinary = () => {}
  this.orderedListener = new CallerListener({
    address: this.listenerAddress,
    clock: createSystemClock(),
    log: { record: () => {} },
    decodeRequest,
    getLimits: () => undefined,
    maxHeldBytes: 100_000_000,
    receiveRead: bytes => { Atomics.add(this.readBytes, 0, bytes) },
    createHandle: (_request, response) => ({
      serve: async () => {
        this.receiveOrdinary(Atomics.load(this.readBytes, 0))
        response.writeHead(200, ['Content-Length', '0'])
        response.end()
      },
      receiveError: () => {},
      receiveCallerDisconnect: () => {},
      receiveUnknownCaller: () => {},
      receiveStop: () => {}
    })
  })
  await this.orderedListener.start()
})

When('{int} callers send bodies in one-byte chunks, and then one sends an ordinary request', { timeout: 60_000 }, async function (this: CrowdOrderWorld, count: number) {
  const [host, port] = this.listenerAddress.split(':')
  const head = formatRawRequest({ kind: 'once', body: '' }).replace('content-length: 0', 'transfer-encoding: chunked')
  const read = new Promise<number>(resolve => { this.receiveOrdinary = resolve })
  this.crowdWorker = new Worker(crowdSource, { eval: true, workerData: { host, port: Number(port), count, head, ordinary: formatRawRequest({ kind: ordinaryKind }), shared: this.readBytes.buffer } })
  this.readBetween = await read - Atomics.load(this.readBytes, 1)
})

Then('at most {int} bytes of their bodies were read between its arrival and its reading', function (this: CrowdOrderWorld, most: number) {
  assert.ok(this.readBetween <= most, `${this.readBetween} bytes`)
})
