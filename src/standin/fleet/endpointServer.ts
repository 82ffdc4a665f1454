/** Serves one endpoint of a stand-in fleet over HTTP: a model engine or a plain service, with faults. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { decodeReceivedHeaders, decodeEngineOrder, encodeEndpointResponseHeaders, encodeEngineReport } from '../../platform/standinWire.js'
import type { ReceivedHeaders } from '../../platform/standinWire.js'
import type { EndpointLoad } from '../../schemas/callerRequest.js'
import { wirePaths } from '../../platform/wireNames.js'
import { createEvenDraws } from './createEvenDraws.js'
import type { FleetEngine } from './fleetEngine.js'
import { countEvents, formatHeaders, formatUnframedHead, formatWholeAnswer, readBody } from './endpointBytes.js'
import { formatChunk, isEndlessFor, isEndlessRefusal, sendEndless } from './endlessAnswer.js'
import { noEndpointFaults } from './endpointFaults.js'
import type { EndpointFaults, FaultShare } from './endpointFaults.js'
import { spoilEvent } from './spoilEvent.js'
import type { RunJournal, RunRecord } from './runJournal.js'

export interface EndpointServerOptions {
  id: string
  service: string
  listenAddress: string
  journal: RunJournal
  /** Draws that decide where an answer is cut. */
  random: () => number
  /** Creates the draws that decide which requests a fault strikes; even ones where left out. */
  createDraws?: () => () => number
  /** Undefined for a plain service. */
  engine: FleetEngine | undefined
  /** Requests that a plain service runs at once. */
  places: number
  workMs: number
}

export interface EndpointServer {
  readonly address: string
  /** Unix milliseconds of the process's start; a crash makes it rise. */
  readonly startedAtMs: number
  /** Whether the process has crashed and is not back yet. */
  readonly isDown: boolean
  /** When the process crashed, in milliseconds of the monotonic clock. */
  readonly crashTimesMs: readonly number[]
  /** Bytes of each answer without end whose connection was closed. */
  readonly endlessBytes: readonly number[]
  setFaults: (faults: Partial<EndpointFaults>) => void
  /** Drops all connections and everything that the endpoint holds, as a crash does. */
  crash: () => void
  stop: () => Promise<void>
}

const lateOrderMs = 1500
const resetDelayMs = 20
const readNow = (): number => performance.now()

export async function startEndpointServer (options: EndpointServerOptions): Promise<EndpointServer> {
  const endpoint = new Endpoint(options)
  await endpoint.listen()
  return {
    address: endpoint.address,
    get startedAtMs () { return endpoint.startedAtMs },
    get isDown () { return endpoint.isDown },
    crashTimesMs: endpoint.crashTimesMs,
    endlessBytes: endpoint.endlessBytes,
    setFaults: faults => { endpoint.faults = { ...endpoint.faults, ...faults } },
    crash: () => endpoint.crash(),
    stop: async () => await endpoint.stop()
  }
}

class Endpoint {
  /** One sequence for each fault, as draws of other faults would decide which requests meet it. */
  #draws = new Map<FaultShare, () => number>()
  faults: EndpointFaults = { ...noEndpointFaults }
  address: string
  readonly crashTimesMs: number[] = []
  readonly endlessBytes: number[] = []
  #server: Server
  #options: EndpointServerOptions
  #running = 0
  #startedAtMs = Date.now()
  /** Id of the request that was refused on each connection. */
  #refusedIds = new WeakMap<Socket, string>()
  #restart: NodeJS.Timeout | undefined
  /** When requests were rejected for want of room while the endpoint was brittle. */
  #rejectionTimesMs: number[] = []

  constructor (options: EndpointServerOptions) {
    this.#options = options
    this.address = options.listenAddress
    this.#server = createServer((request, response) => { this.#receive(request, response) })
    this.#server.keepAliveTimeout = 30_000
  }

  get startedAtMs (): number {
    return this.#options.engine?.startedAtMs ?? this.#startedAtMs
  }

  get isDown (): boolean {
    return this.#restart !== undefined
  }

  /** A later process of the endpoint listens at the same address. */
  async listen (): Promise<void> {
    const [host, port] = this.address.split(':')
    await new Promise<void>(resolve => this.#server.listen(Number(port), host, resolve))
    const { address, port: boundPort } = this.#server.address() as AddressInfo
    this.address = `${address}:${boundPort}`
  }

  crash (): void {
    const { downMs } = this.faults
    this.crashTimesMs.push(readNow())
    this.#options.engine?.restart()
    this.#startedAtMs = Math.max(Date.now(), this.#startedAtMs + 1)
    this.#running = 0
    this.#server.closeAllConnections()
    if (downMs === 0 || this.isDown) return
    this.#server.close()
    this.#restart = setTimeout(async () => {
      await this.listen()
      this.#restart = undefined
    }, downMs)
  }

  async stop (): Promise<void> {
    clearTimeout(this.#restart)
    this.#server.closeAllConnections()
    if (this.#server.listening) await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }

  async #receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.faults.cutsUploads && request.url !== wirePaths.order && request.url !== wirePaths.report) {
      this.#cutUpload(request)
      return
    }
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined || this.faults.isDark) return
    const { engine } = this.#options
    if (engine && request.url === wirePaths.order) this.#receiveOrder(engine, body, response)
    else if (engine && request.url === wirePaths.report) response.writeHead(200, { 'content-type': 'application/json' }).end(encodeEngineReport(engine.readReport()))
    else this.#receiveRequest(request, response, body)
  }

  #receiveOrder (engine: FleetEngine, body: string, response: ServerResponse): void {
    const { order, holder } = decodeEngineOrder(body)
    if (this.#shouldStrike('lateOrders')) {
      const { startedAtMs } = engine
      setTimeout(() => {
        // An order that names its engine does not reach a later process of it.
        if (engine.startedAtMs === startedAtMs) engine.receiveOrder(order, holder)
      }, lateOrderMs).unref()
      return
    }
    response.writeHead(engine.receiveOrder(order, holder)).end()
  }

  #receiveRequest (request: IncomingMessage, response: ServerResponse, body: string): void {
    const { id, engine, places } = this.#options
    const marks = decodeReceivedHeaders(request.headers)
    const requestId = marks.requestId ?? ''
    const { isLeaving, retryAfter, limit } = this.faults
    this.#options.journal.recordArrival(id, requestId, readNow(), request.rawHeaders)
    if (retryAfter !== '') {
      this.#options.journal.recordRejection(id, requestId, readNow(), request.rawHeaders)
      response.writeHead(503, encodeEndpointResponseHeaders(requestId, undefined, { isLeaving, retryAfter, limit })).end()
      return
    }
    const { brittle } = this.faults
    const maxRunning = brittle === '' ? places * 4 : places
    const refusal = marks.endpointId !== undefined && marks.endpointId !== id
      ? 421
      : engine ? engine.findRefusal(marks.adapter, marks.version) : this.#running >= maxRunning ? 503 : undefined
    if (refusal !== undefined) {
      response.writeHead(refusal, encodeEndpointResponseHeaders(requestId, undefined, { isLeaving, limit, brittle, load: this.#readLoad() })).end()
      if (refusal === 503 && brittle !== '') this.#recordRejection(Number(brittle))
      return
    }
    if (this.faults.repeatedRefusals !== '' && this.#repeatRefusal(request, response, requestId)) return
    this.#run(request, response, marks)
    if (body !== '' && body === this.faults.crashBody) this.crash()
  }

  /** Undefined where the endpoint tells no load. */
  #readLoad (): EndpointLoad | undefined {
    const { slowness } = this.faults
    const { engine, places } = this.#options
    if (engine || slowness === 0) return undefined
    return { running: Math.min(places, this.#running), waiting: Math.max(0, this.#running - places), places, slowness }
  }

  #recordRejection (maxPerSecond: number): void {
    this.#rejectionTimesMs = [...this.#rejectionTimesMs.filter(atMs => readNow() - atMs < 1000), readNow()]
    if (this.#rejectionTimesMs.length <= maxPerSecond || this.isDown) return
    this.#rejectionTimesMs = []
    this.crash()
  }

  /** Returns whether the request was refused, rather than an earlier refusal repeated before its answer. */
  #repeatRefusal ({ socket }: IncomingMessage, response: ServerResponse, requestId: string): boolean {
    const refusedId = this.#refusedIds.get(socket)
    if (refusedId === undefined) {
      this.#refusedIds.set(socket, requestId)
      response.writeHead(503, encodeEndpointResponseHeaders(requestId, undefined)).end()
      return true
    }
    const [, ...unnamed] = Object.entries(encodeEndpointResponseHeaders(refusedId, undefined))
    const headers = this.faults.repeatedRefusals === 'unnamed' ? Object.fromEntries(unnamed) : encodeEndpointResponseHeaders(refusedId, undefined)
    socket.write(`HTTP/1.1 503 Service Unavailable\r\n${formatHeaders(headers)}content-length: 0\r\n\r\n`)
    return false
  }

  #run (request: IncomingMessage, response: ServerResponse, marks: ReceivedHeaders): void {
    const { id, service, journal, engine, workMs } = this.#options
    const run = journal.start({
      requestId: marks.requestId ?? '', endpointId: id, service, path: request.url ?? '', startedAtMs: readNow(), timeLeftMs: marks.timeLeftMs, fromEvent: marks.lastEventId, adapterVersion: marks.version, account: marks.account, hasCredentials: marks.hasCredentials
    })
    this.#running++
    engine?.recordRun(marks.adapter, 1)
    const finish = (outcome: RunRecord['outcome']): void => {
      if (run.endedAtMs !== undefined) return
      run.endedAtMs = readNow()
      run.outcome = outcome
      this.#running = Math.max(0, this.#running - 1)
      engine?.recordRun(marks.adapter, -1)
    }
    response.on('close', () => finish('left'))
    const headers = encodeEndpointResponseHeaders(run.requestId, `signed by ${id}`, { isLeaving: this.faults.isLeaving, limit: this.faults.limit, brittle: this.faults.brittle, load: this.#readLoad() })
    if (this.#sendEndless(request, run, headers, finish)) return
    if (this.faults.status !== '') {
      finish('broken')
      this.#sendStatus(request, run, headers)
      return
    }
    if (this.#shouldStrike('silentRuns')) return
    if (this.#shouldStrike('errors')) {
      setTimeout(() => {
        finish('broken')
        response.writeHead(500, headers).end('failed')
      }, workMs / 2)
    } else if (this.#shouldStrike('headCuts')) {
      setTimeout(() => {
        finish('broken')
        this.#cutHead(request, headers)
      }, workMs / 2)
    } else if (engine && this.#isCrashedBy(marks)) {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' }).flushHeaders()
      setTimeout(() => { if (!response.destroyed) this.crash() }, this.faults.eventMs || engine.options.eventMs)
    } else if (engine && this.#shouldStrike('unframed')) {
      this.#streamUnframed(engine, response, run, headers, finish)
    } else if (engine) {
      this.#stream(engine, response, run, headers, finish)
    } else {
      setTimeout(() => this.#answer(request, response, run, headers, finish), workMs * (this.faults.slowness || 1) + this.faults.extraMs)
    }
  }

  #shouldStrike (fault: FaultShare): boolean {
    let draw = this.#draws.get(fault)
    if (!draw) {
      draw = (this.#options.createDraws ?? createEvenDraws)()
      this.#draws.set(fault, draw)
    }
    return draw() < this.faults[fault]
  }

  /** Returns whether the request is answered without end. */
  #sendEndless ({ socket }: IncomingMessage, run: RunRecord, headers: Record<string, string>, finish: (outcome: RunRecord['outcome']) => void): boolean {
    const { endless } = this.faults
    if (endless === '') return false
    if (!isEndlessFor(endless, run.fromEvent)) {
      // The caller has two events of a stream that somebody else has to complete.
      const broken = [1, 2].map(id => formatChunk(`id: ${id}\ndata: ${run.requestId} ${id}\n\n`)).join('')
      socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${broken}`)
      // A reset at once would take the events along.
      setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
      finish('broken')
      return true
    }
    const startBytes = socket.bytesWritten
    sendEndless(socket, endless, formatHeaders(isEndlessRefusal(endless) ? encodeEndpointResponseHeaders(run.requestId, undefined) : headers))
    socket.once('close', () => {
      finish('broken')
      this.endlessBytes.push(socket.bytesWritten - startBytes)
    })
    return true
  }

  /** Sends what would be a whole answer if its status were 200. */
  #sendStatus ({ socket }: IncomingMessage, run: RunRecord, headers: Record<string, string>): void {
    const { body, contentType } = formatWholeAnswer(this.#options.engine !== undefined, run.requestId, run.fromEvent)
    socket.write(`HTTP/1.1 ${this.faults.status}\r\n${formatHeaders({ ...headers, ...contentType })}content-length: ${body.length}\r\n\r\n${body}`)
  }

  #cutUpload (request: IncomingMessage): void {
    const { socket } = request
    const { requestId = '', lastEventId } = decodeReceivedHeaders(request.headers)
    const { body, contentType } = formatWholeAnswer(this.#options.engine !== undefined, requestId, lastEventId)
    // A stream that ends after a whole event looks complete.
    const part = this.#options.engine ? body.slice(0, body.indexOf('\n\n') + 2) : body.slice(0, body.length / 2)
    request.pause()
    socket.write(formatUnframedHead('1.1', { ...encodeEndpointResponseHeaders(requestId, `signed by ${this.#options.id}`), ...contentType }) + part)
    // A reset at once would take the answer along.
    setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
  }

  /** Ends the connection somewhere before the blank line that ends the head. */
  #cutHead ({ socket }: IncomingMessage, headers: Record<string, string>): void {
    const { random, engine } = this.#options
    const framing: Record<string, string> = engine ? { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' } : { 'content-length': '5' }
    const head = `HTTP/1.1 200 OK\r\n${formatHeaders({ ...headers, ...framing })}`
    const part = head.slice(0, 1 + Math.floor(random() * head.length))
    if (this.faults.resetsHeads) socket.write(part, () => socket.resetAndDestroy())
    else socket.end(part)
  }

  #isCrashedBy ({ sharedParts, adapter }: ReceivedHeaders): boolean {
    const { crashParts, crashAdapter } = this.faults
    return sharedParts.some(part => crashParts.includes(part)) && (crashAdapter === '' || crashAdapter === adapter)
  }

  #answer (request: IncomingMessage, response: ServerResponse, run: RunRecord, headers: Record<string, string>, finish: (outcome: RunRecord['outcome']) => void): void {
    const body = `done ${run.requestId}`
    if (this.#shouldStrike('cuts')) {
      finish('broken')
      response.writeHead(200, { ...headers, 'content-length': String(body.length) }).write(body.slice(0, 4))
      setImmediate(() => request.socket.resetAndDestroy())
    } else if (this.#shouldStrike('unframedCuts')) {
      finish('broken')
      request.socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}connection: close\r\n\r\n${body.slice(0, 4)}`, () => request.socket.resetAndDestroy())
    } else if (this.#shouldStrike('unframed')) {
      finish('whole')
      request.socket.end(formatUnframedHead(this.faults.unframedVersion, headers) + body)
    } else {
      finish('whole')
      response.writeHead(200, { ...headers, 'content-length': String(body.length) }).end(body)
      if (this.#shouldStrike('extras')) setTimeout(() => request.socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}content-length: ${body.length}\r\n\r\n${body}`), 5)
    }
  }

  /** Sends events over the bare connection, which ends the stream; a stream that is cut ends inside an event. */
  #streamUnframed (engine: FleetEngine, response: ServerResponse, run: RunRecord, headers: Record<string, string>, finish: (outcome: RunRecord['outcome']) => void): void {
    const { random } = this.#options
    const socket = response.socket!
    const last = countEvents(run.requestId)
    const cutAfter = this.#shouldStrike('unframedCuts') ? run.fromEvent + Math.floor(random() * last) : Infinity
    const isEmpty = this.#shouldStrike('emptyStreams')
    let next = run.fromEvent + 1
    socket.write(formatUnframedHead(this.faults.unframedVersion, { ...headers, 'content-type': 'text/event-stream' }))
    const send = (): void => {
      if (socket.destroyed) return
      if (isEmpty || next > cutAfter || next > last) {
        const isCut = !isEmpty && next > cutAfter
        finish(isCut || isEmpty ? 'broken' : 'whole')
        socket.end(isCut ? `id: ${next}\nda` : '')
        return
      }
      socket.write(`id: ${next}\ndata: ${run.requestId} ${next}\n\n`)
      next++
      setTimeout(send, engine.options.eventMs)
    }
    setTimeout(send, engine.options.eventMs)
  }

  /** Sends events with rising ids; the number of them follows from the request's id. */
  #stream (engine: FleetEngine, response: ServerResponse, run: RunRecord, headers: Record<string, string>, finish: (outcome: RunRecord['outcome']) => void): void {
    const { random } = this.#options
    const last = countEvents(run.requestId)
    const eventMs = this.faults.eventMs || engine.options.eventMs
    const { silenceMs, commentMs } = this.faults
    const cutAfter = this.#shouldStrike('cuts') ? run.fromEvent + Math.floor(random() * last) : Infinity
    const { spoiling, spoiledEvent } = this.faults
    const isSpoiled = this.#shouldStrike('spoiledIds')
    let next = run.fromEvent + 1
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    if (this.faults.trickleMs > 0) {
      const trickle = setInterval(() => response.write(':'), this.faults.trickleMs)
      response.on('close', () => clearInterval(trickle))
      return
    }
    const send = (): void => {
      if (response.destroyed) return
      if (next > cutAfter || this.faults.breaksStreams) {
        finish('broken')
        // Half an event shows whether only whole ones are passed on.
        response.write(`id: ${next}\nda`, () => response.socket?.resetAndDestroy())
        return
      }
      if (next > last) {
        finish('whole')
        response.end()
        return
      }
      const event = `id: ${next}\ndata: ${run.requestId} ${next}\n\n`
      response.write(isSpoiled && next === spoiledEvent ? spoilEvent(event, spoiling) : event)
      next++
      const isSilent = next === eventsBeforeSilence + 1
      setTimeout(send, isSilent ? eventMs + silenceMs : eventMs)
      if (isSilent && commentMs > 0) sendComments(response, commentMs, silenceMs)
    }
    setTimeout(send, eventMs)
  }
}

/** Events that come before the silence of a stream; every stream has one more at least. */
const eventsBeforeSilence = 2

/** Sends comments, which hold a quiet connection open. */
function sendComments (response: ServerResponse, intervalMs: number, forMs: number): void {
  const timer = setInterval(() => response.write(': quiet\n\n'), intervalMs)
  setTimeout(() => clearInterval(timer), forMs)
}
