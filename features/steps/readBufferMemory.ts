/** Steps of the memory that reading takes. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { promisify } from 'node:util'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { ReadBufferLimit } from '../../src/core/readBufferLimit.js'
import { createTestHandle, startTestListener } from '../support/testListener.js'
import type { TestListener } from '../support/testListener.js'
import { waitUntil } from '../support/waitUntil.js'

interface ReadBufferWorld {
  peakMallocedBytes: number
  longRead: { peakExternalBytes: number, tagBefore: number, tagAfter: number }
  readLimit: ReadBufferLimit
  externalBytes: number
  measured: number
  collected: number
  countedListener: TestListener
  countedSocket: Socket
  countedBytes: number
}

const linkModule = new URL('../../src/adapters/endpointHttp/httpEndpointLink.js', import.meta.url).href
const limitModule = new URL('../../src/core/readBufferLimit.js', import.meta.url).href
const garbageModule = new URL('../../src/adapters/v8/youngGarbage.js', import.meta.url).href

After(function (this: Partial<ReadBufferWorld>) {
  this.countedSocket?.destroy()
  this.countedListener?.listener.close()
})

async function runProgram (program: string): Promise<string> {
  const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', program])
  return stdout
}

/** Renders a program that reads responses over a link and prints the most memory that V8 took beside its heap. */
function formatReader (responses: number, headBytes: number): string {
  return `
    import { createServer } from 'node:http'
    import { getHeapStatistics } from 'node:v8'
    import { openHttpEndpointLink } from '${linkModule}'
    const server = createServer((message, response) => { response.writeHead(200, { 'x-filler': 'x'.repeat(${headBytes}) }).end('y') })
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    const link = openHttpEndpointLink({ address: '127.0.0.1:' + server.address().port, getMaxConnections: () => 1, readNow: () => performance.now() })
    for (let count = 0; count < ${responses}; count++) {
      await new Promise((resolve, reject) => link.send({ id: 'r1', method: 'GET', path: '/', headers: [] }, {
        confirmSend: () => true, receiveHead: () => {}, receiveData: () => true, receiveEnd: resolve, receiveFailure: ({ reason }) => reject(new Error(reason))
      }))
    }
    process.stdout.write(String(getHeapStatistics().peak_malloced_memory))
    process.exit()
  `
}

/** Renders a program that reads a response in chunks of 64 KB, and prints the most memory outside of the heap and V8's tag for compiled code. */
function formatLongReader (bytes: number, limitBytes: number): string {
  return `
    import { createServer } from 'node:http'
    import { cachedDataVersionTag } from 'node:v8'
    import { openHttpEndpointLink } from '${linkModule}'
    import { ReadBufferLimit } from '${limitModule}'
    import { collectYoungGarbage, measureExternalBytes } from '${garbageModule}'
    const tagBefore = cachedDataVersionTag()
    const chunk = Buffer.alloc(65536, 'x')
    const server = createServer((message, response) => {
      let left = ${bytes}
      const send = () => { while (left > 0 && response.write(chunk)) left -= chunk.length; if (left <= 0) response.end() }
      response.on('drain', () => { left -= chunk.length; send() })
      send()
    })
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    const limit = new ReadBufferLimit({ maxBytes: ${limitBytes}, measureBytes: measureExternalBytes, collect: collectYoungGarbage })
    const link = openHttpEndpointLink({ address: '127.0.0.1:' + server.address().port, getMaxConnections: () => 1, readNow: () => performance.now(), receiveRead: bytes => limit.add(bytes) })
    let peakExternalBytes = 0
    await new Promise((resolve, reject) => link.send({ id: 'r1', method: 'GET', path: '/', headers: [] }, {
      confirmSend: () => true,
      receiveHead: () => {},
      receiveData: () => {
        peakExternalBytes = Math.max(peakExternalBytes, measureExternalBytes())
        return true
      },
      receiveEnd: resolve,
      receiveFailure: ({ reason }) => reject(new Error(reason))
    }))
    process.stdout.write(JSON.stringify({ peakExternalBytes, tagBefore, tagAfter: cachedDataVersionTag() }))
    process.exit()
  `
}

When('a process reads {int} responses with heads of {int} bytes over a link to an endpoint', async function (this: ReadBufferWorld, responses: number, headBytes: number) {
  this.peakMallocedBytes = Number(await runProgram(formatReader(responses, headBytes)))
})

Then('V8 took less than {int} MB of memory beside its heap', function (this: ReadBufferWorld, megabytes: number) {
  const peakMb = this.peakMallocedBytes / 1024 / 1024
  assert.ok(peakMb > 0 && peakMb < megabytes, `${peakMb.toFixed(1)} MB`)
})

When('a process reads a response of {int} MB over a link, with a limit of {int} MB on buffers', async function (this: ReadBufferWorld, megabytes: number, limitMb: number) {
  this.longRead = JSON.parse(await runProgram(formatLongReader(megabytes * 1024 * 1024, limitMb * 1024 * 1024))) as ReadBufferWorld['longRead']
})

Then('its memory outside of the heap stayed below {int} MB, and compiled code of before is still accepted', function (this: ReadBufferWorld, megabytes: number) {
  const { peakExternalBytes, tagBefore, tagAfter } = this.longRead
  assert.ok(peakExternalBytes < megabytes * 1024 * 1024, `${(peakExternalBytes / 1024 / 1024).toFixed(1)} MB`)
  assert.equal(tagAfter, tagBefore)
})

Given('a limit of {int} bytes on buffers', function (this: ReadBufferWorld, maxBytes: number) {
  this.measured = 0
  this.collected = 0
  this.readLimit = new ReadBufferLimit({
    maxBytes,
    measureBytes: () => {
      this.measured++
      return this.externalBytes
    },
    collect: () => { this.collected++ }
  })
})

When(/^(\d+) bytes? (?:is|are) read and (\d+) lie outside of the heap$/, function (this: ReadBufferWorld, bytes: string, externalBytes: string) {
  this.externalBytes = Number(externalBytes)
  this.readLimit.add(Number(bytes))
})

Then(/^buffers were measured (\d+) times? and collected (\d+) times?$/, function (this: ReadBufferWorld, measured: string, collected: string) {
  assert.deepEqual([this.measured, this.collected], [Number(measured), Number(collected)])
})

Given('a listener that counts what it reads, with bodies of at most {int} bytes', async function (this: ReadBufferWorld, maxBodyBytes: number) {
  this.countedBytes = 0
  this.countedListener = await startTestListener({
    getLimits: () => ({ maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 3000 }),
    receiveRead: bytes => { this.countedBytes += bytes },
    createHandle: (_request, response) => createTestHandle(async () => {
      response.writeHead(200, ['Content-Length', '0'])
      response.end()
    })
  })
})

When('a caller sends bodies of {int} and {int} bytes in chunks of {int}, and one of {int} bytes behind its last request', function (this: ReadBufferWorld, first: number, second: number, chunkBytes: number, ignored: number) {
  const [host, port] = this.countedListener.address.split(':')
  this.countedSocket = connect({ host, port: Number(port) }).resume().on('error', () => {})
  const formatRequest = (bytes: number, version: string): string =>
    `POST /x HTTP/${version}\r\nhost: x\r\nconnection: keep-alive\r\ntransfer-encoding: chunked\r\n\r\n${`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(bytes / chunkBytes)}0\r\n\r\n`
  // Nothing behind a request of HTTP/1.0 is served, yet the parser reads on where the caller keeps the connection.
  this.countedSocket.write(`${formatRequest(first, '1.1')}${formatRequest(second, '1.0')}${formatRequest(ignored, '1.1')}`)
})

Then('{int} bytes count as read', async function (this: ReadBufferWorld, bytes: number) {
  await waitUntil(() => this.countedBytes >= bytes)
  assert.equal(this.countedBytes, bytes)
})
