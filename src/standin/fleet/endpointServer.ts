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
import { answerWithoutEnd, cutHead, cutUpload, sendStatus } from './brokenAnswers.js'
import { sendPlainAnswer, streamEvents, streamUnframed } from './endpointAnswers.js'
import type { AnsweredRun } from './endpointAnswers.js'
import { formatHeaders, readBody } from './endpointBytes.js'
import { decodeLongPath, sendLongAnswer } from './longAnswer.js'
import { noEndpointFaults } from './endpointFaults.js'
import type { EndpointFaults, FaultShare } from './endpointFaults.js'
import { FaultDraws } from './faultDraws.js'
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
  #draws: FaultDraws
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
    this.#draws = new FaultDraws(options.createDraws ?? createEvenDraws)
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
      cutUpload(request, this.#options.id, this.#options.engine !== undefined)
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

  /** Undefined where the endpoint reports no load. */
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
    const { id, service, journal, engine, workMs, random } = this.#options
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
    const { socket } = request
    const { endless, endlessEnd, status } = this.faults
    const isStream = engine !== undefined
    if (endless !== '') {
      answerWithoutEnd(endless, { run, socket, headers, end: endlessEnd, finish, receiveEnd: bytes => this.endlessBytes.push(bytes) })
      return
    }
    if (status !== '') {
      finish('broken')
      sendStatus(socket, status, isStream, run, headers)
      return
    }
    if (this.#shouldStrike('silentRuns')) return
    const answered: AnsweredRun = { run, socket, response, headers, finish, random, getFaults: () => this.faults, shouldStrike: fault => this.#shouldStrike(fault) }
    const long = decodeLongPath(run.path)
    if (long) {
      sendLongAnswer(answered, long, isStream)
    } else if (this.#shouldStrike('errors')) {
      setTimeout(() => {
        finish('broken')
        response.writeHead(500, headers).end('failed')
      }, workMs / 2)
    } else if (this.#shouldStrike('headCuts')) {
      setTimeout(() => {
        finish('broken')
        cutHead(socket, { isStream, headers, random, isReset: this.faults.resetsHeads })
      }, workMs / 2)
    } else if (engine && this.#isCrashedBy(marks)) {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' }).flushHeaders()
      setTimeout(() => { if (!response.destroyed) this.crash() }, this.faults.eventMs || engine.options.eventMs)
    } else if (engine && this.#shouldStrike('unframed')) {
      streamUnframed(answered, engine.options.eventMs)
    } else if (engine) {
      streamEvents(answered, engine.options.eventMs)
    } else {
      setTimeout(() => sendPlainAnswer(answered), workMs * (this.faults.slowness || 1) + this.faults.extraMs)
    }
  }

  #shouldStrike (fault: FaultShare): boolean {
    return this.#draws.shouldStrike(fault, this.faults)
  }

  #isCrashedBy ({ sharedParts, adapter }: ReceivedHeaders): boolean {
    const { crashParts, crashAdapter } = this.faults
    return sharedParts.some(part => crashParts.includes(part)) && (crashAdapter === '' || crashAdapter === adapter)
  }
}
