/**
 * Stands before a worker of the fleet and passes everything on. While it is in trouble:
 * - `failures`: breaks off each new stream after two events, and answers a request that goes on with a stream with a failure
 *   whose body never ends;
 * - `lines`: answers each stream request with a success whose body has one short line a chunk, no event, and no end;
 * - `wrongByte`: spoils one byte, in the id of the third event, of a part of the streams.
 */
import { createServer, request as call } from 'node:http'

/** To each host go 100 MB a second from all workers together, less than its link of 1,000 Mbit/s carries. */
const bytesPerInterval = 1_000_000
const intervalMs = 10
/** Endless answers that are being sent, by the host that gets them; its number is the first digit of the request's id. */
const endlessAnswers = new Map()
const eventsBeforeEnd = 2
/** Part of the answers that is spoiled, as `garble` does in the deployment. */
const spoiledPart = 0.02

export class TroubledRoute {
  /** `failures`, `lines`, `wrongByte`, or undefined while the worker is sound. */
  trouble
  #server
  #target
  #record

  static async start (target, record) {
    const route = new TroubledRoute()
    route.#target = target
    route.#record = record
    route.#server = createServer((request, response) => route.#receive(request, response))
    route.#server.keepAliveTimeout = 60_000
    await new Promise(resolve => route.#server.listen(0, '127.0.0.1', resolve))
    return route
  }

  get address () {
    return `127.0.0.1:${this.#server.address().port}`
  }

  async stop () {
    this.#server.closeAllConnections()
    await new Promise(resolve => this.#server.close(resolve))
  }

  #receive (request, response) {
    const isStream = request.headers.model !== undefined
    if (isStream && this.trouble === 'lines') {
      request.resume()
      this.#sendEndless(request, '200 OK', 'Server-Signature: by a worker in trouble\r\nContent-Type: text/event-stream\r\n', createLines)
      return
    }
    if (isStream && this.trouble === 'failures' && request.headers['last-event-id'] !== undefined) {
      request.resume()
      this.#sendEndless(request, '500 Internal Server Error', '', createChunk)
      return
    }
    const [host, port] = this.#target.split(':')
    const passed = call({ host, port, method: request.method, path: request.url, headers: request.headers }, answer => {
      response.writeHead(answer.statusCode, answer.rawHeaders)
      response.flushHeaders()
      const isSpoiled = isStream && this.trouble === 'wrongByte' && Math.random() < spoiledPart
      let events = 0
      answer.on('data', chunk => {
        response.write(isSpoiled ? this.#spoil(chunk, request) : chunk)
        events += chunk.toString().split('\n\n').length - 1
        if (this.trouble === 'failures' && isStream && answer.statusCode === 200 && events >= eventsBeforeEnd) request.socket.destroy()
      })
      answer.on('end', () => response.end())
      answer.on('error', () => response.destroy())
    })
    passed.on('error', () => response.destroy())
    response.on('close', () => passed.destroy())
    request.pipe(passed)
  }

  #spoil (chunk, request) {
    const text = chunk.toString('latin1')
    const spoiled = text.replace(/^id: 3$/m, 'id: 7')
    if (spoiled !== text) this.#record.write('worker', `request ${request.headers['attempt-id']}: the id of its third event is spoiled`)
    return Buffer.from(spoiled, 'latin1')
  }

  #sendEndless ({ socket, headers }, status, addedHeaders, createBytes) {
    const id = headers['attempt-id']
    this.#record.write('worker', `request ${id}: status ${status} and a body that never ends`)
    socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${addedHeaders}Transfer-Encoding: chunked\r\n\r\n`)
    const host = id[0]
    endlessAnswers.set(host, (endlessAnswers.get(host) ?? 0) + 1)
    const timer = setInterval(() => {
      if (socket.writableLength < bytesPerInterval) socket.write(createBytes(Math.floor(bytesPerInterval / endlessAnswers.get(host))))
    }, intervalMs)
    const startedAtMs = performance.now()
    socket.on('error', () => {})
    socket.on('close', () => {
      clearInterval(timer)
      endlessAnswers.set(host, endlessAnswers.get(host) - 1)
      this.#record.write('worker', `request ${id}: closed after ${(socket.bytesWritten / 1e6).toFixed(1)} MB and ${(performance.now() - startedAtMs).toFixed(0)} ms`)
    })
  }
}

function createChunk (bytes) {
  return Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 0x78), Buffer.from('\r\n')])
}

const line = Buffer.from('2\r\nx\n\r\n')

function createLines (bytes) {
  return Buffer.alloc(bytes - bytes % line.length, line)
}
