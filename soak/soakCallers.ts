/** Callers of a soak: they keep connections open, ask hosts that say they are ready, and note what they got. */
import { setTimeout as sleep } from 'node:timers/promises'
import { createRequestId, FleetCaller, isStreamed } from '../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetCall } from '../src/standin/fleet/fleetCaller.js'
import { RawCaller } from '../src/standin/fleet/rawCaller.js'
import type { RawAnswer, RawRequest } from '../src/standin/fleet/rawCaller.js'
import { pickCredentials } from './soakAccounts.js'
import type { SoakCredentials } from './soakAccounts.js'
import { drawSlowRequest, sendSlowRequest } from './slowCaller.js'
import type { SlowRequest } from './slowCaller.js'
import type { HostProcess } from './hostProcess.js'
import type { SoakCall, SoakRecord } from './soakRecord.js'
import { formatProbePath } from './soakSystem.js'

/** Requests a second of all callers, and in a burst, for some ten places on engines and a dozen on services. */
const usualRate = 20
const burstRate = 90
/** Long enough for queues at all engines to fill at that rate. */
const burstMs = 2000
/** The platform asks once a second; callers here notice sooner which hosts are away, so that more of their calls meet a host. */
const readinessIntervalMs = 250
const readinessTimeoutMs = 200
/** Several probes fall into the time in which a configuration has to be in force. */
const probeIntervalMs = 400
/** Shorter than the time of the probed route, which a probe need not wait for. */
const probeTimeoutMs = 3000
/** A caller gives up on a host that does not answer at all after this time. */
const callTimeoutMs = 20_000
/** Few enough for three engines with four slots to hold, many enough that placing, loads and unloads go on. */
const adapterCount = 10
/** Callers' own time is up after this, in milliseconds: with the route's, or long after it, so that the route has to end the wait. */
const callerTimes = [4000, 12_000]
const kinds: readonly CallKind[] = ['resumable', 'resumable', 'resumable', 'resumable', 'stream', 'stream', 'idempotent', 'idempotent', 'once', 'once']

/** Requests that a raw connection has unanswered at once: it writes that many and waits for all, or writes another one with each answer. */
const pipelinedShapes = [{ writers: 1, requests: 2 }, { writers: 1, requests: 3 }, { writers: 3, requests: 1 }]
/** Pause of a raw connection after a batch, for each host, as each host has one of them. */
const pipelinedGapMsPerHost = 50
/** Bounds how often one that writes with each answer is refused. */
const refillGapMs = 5
/** Between requests whose callers end their side, and between bodies over the limit, of all hosts together. */
const singleGapsMs = { halfClosed: 200, overLimit: 1000 } as const
/** Raw connections of each host that send a request behind a stream, up to this long after it. */
const behindStreamCallers = 4
const maxBehindStreamMs = 600
/** Bounds how often these connections are opened. */
const behindStreamGapMs = 100
/** Between requests for long answers, of all hosts together. */
const slowGapMs = 1000
/** Above the limit of the fleet's routes, with a length that is stated. */
const overLimitBytes = [1_100_000, 5_000_000]

/** Second parts of prompts that requests share. */
const sharedPartCount = 20

/**
 * Formats a prompt of a first part that all requests share, a second one, and the request's own.
 *
 * @example
 * formatPromptParts('b3', '9c41') // 'aa01:60,b3:40,9c41:30'
 */
export function formatPromptParts (part: string, requestId: string): string {
  return `aa01:60,${part}:40,${requestId}:30`
}

export interface SoakCallersOptions {
  hosts: readonly HostProcess[]
  record: SoakRecord
  random: () => number
  /** Whether some callers send several requests at once on a connection, until it is closed. */
  sendsAhead: boolean
  /** Whether some callers end their side behind a request, and some send bodies over the limit. */
  endsSide: boolean
  /** Whether some callers send a request behind a stream, whatever the head of its answer says. */
  sendsBehindStreams: boolean
  /** Whether callers send keys of client accounts, and some of them unknown ones. */
  sendsKeys: boolean
  /** Whether some callers ask for long answers, and read them slowly or not at all. */
  sendsSlowly: boolean
}

export class SoakCallers {
  #options: SoakCallersOptions
  #caller = new FleetCaller()
  #ready = new Set<HostProcess>()
  #isSending = true
  #burstEndsAtMs = 0
  #open = new Set<Promise<unknown>>()

  constructor (options: SoakCallersOptions) {
    this.#options = options
  }

  /** Sends until `finish` is called. */
  async run (): Promise<void> {
    await Promise.all([this.#watchReadiness(), this.#sendLoad(), this.#probeConfigurations(), ...this.#sendAhead(), ...this.#sendSingles(), ...this.#sendBehindStreams(), this.#sendSlowly()])
  }

  startBurst (): void {
    this.#burstEndsAtMs = performance.now() + burstMs
  }

  /** Sends nothing further and waits for the answers that are due. */
  async finish (): Promise<void> {
    this.#isSending = false
    await Promise.all(this.#open)
  }

  async close (): Promise<void> {
    await this.#caller.close()
  }

  /** Hosts that said last that they take connections. */
  get readyHosts (): HostProcess[] {
    return [...this.#ready]
  }

  /** Calls a host and notes what came of it. */
  async call (host: HostProcess, purpose: SoakCall['purpose'], changes: Partial<FleetCall> = {}): Promise<SoakCall> {
    const { record } = this.#options
    const kind = changes.kind ?? this.#pick(kinds)
    const adapter = isStreamed(kind) ? changes.adapter ?? this.pickAdapter() : undefined
    const { life, settings } = host
    const requestId = createRequestId()
    const startedAtMs = performance.now()
    const promptParts = formatPromptParts(`b${Number.parseInt(requestId.slice(0, 2), 16) % sharedPartCount}`, requestId)
    // Hosts know a request that crashes engines by its account and what it asks, so those that crash have one account and no two others ask the same.
    const credentials = this.#pickCredentials(requestId, purpose === 'calm' || purpose === 'crashing')
    const answer = await this.#caller.call({ kind, requestId, body: `question ${requestId}`, promptParts, ...(adapter !== undefined && { adapter }), timeLeftMs: this.#pick(callerTimes), signal: AbortSignal.timeout(callTimeoutMs), headers: credentials?.headers ?? {}, ...changes, address: settings.callersAddress })
    const call: SoakCall = { answer, host: settings.hostName, life, adapter, account: credentials?.account, startedAtMs, turnAtMs: startedAtMs, endedAtMs: performance.now(), purpose }
    record.calls.push(call)
    return call
  }

  /** A few adapters are asked for most. */
  pickAdapter (): string {
    return `a${1 + Math.floor(adapterCount * this.#options.random() ** 2)}`
  }

  #pickCredentials (requestId: string, mustBeKnown = false): SoakCredentials | undefined {
    return this.#options.sendsKeys ? pickCredentials(requestId, mustBeKnown) : undefined
  }

  #pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#options.random() * items.length)]!
  }

  async #sendLoad (): Promise<void> {
    while (this.#isSending) {
      const rate = performance.now() < this.#burstEndsAtMs ? burstRate : usualRate
      await sleep(1000 / rate)
      const hosts = this.readyHosts
      if (hosts.length > 0) this.#track(this.call(this.#pick(hosts), 'load'))
    }
  }

  #sendAhead (): Promise<void>[] {
    const { hosts, sendsAhead } = this.#options
    return (sendsAhead ? hosts : []).map(async host => {
      while (this.#isSending) {
        await sleep(readinessIntervalMs)
        if (this.#ready.has(host)) await this.#usePipeline(host)
      }
    })
  }

  /** Sends on a connection until the host closes it, whatever its answers say. */
  async #usePipeline (host: HostProcess): Promise<void> {
    const { life, settings } = host
    const caller = await RawCaller.open(settings.callersAddress).catch(() => undefined)
    if (!caller) return
    const shape = this.#pick(pipelinedShapes)
    const gapMs = shape.requests === 1 ? refillGapMs : pipelinedGapMsPerHost * this.#options.hosts.length
    let turnAtMs = 0
    let cutBy: string | undefined
    const write = async (): Promise<void> => {
      while (this.#isSending && !caller.isClosed) {
        const requests = Array.from({ length: shape.requests }, () => this.#createRawRequest())
        // A connection that stands still for longer is given up, as by other callers.
        const timer = setTimeout(() => caller.close(), callTimeoutMs * shape.writers * shape.requests)
        for (const [index, answer] of (await caller.send(requests)).entries()) {
          const { sentAtMs: startedAtMs, endedAtMs } = answer
          this.#options.record.calls.push({ answer, host: settings.hostName, life, adapter: requests[index]!.adapter, account: this.#pickCredentials(answer.requestId)?.account, startedAtMs, turnAtMs: Math.max(startedAtMs, turnAtMs), endedAtMs, ...(cutBy !== undefined && { cutBy }), purpose: 'pipelined' })
          turnAtMs = endedAtMs
          if (answer.error !== undefined) cutBy ??= answer.requestId
        }
        clearTimeout(timer)
        await sleep(gapMs)
      }
    }
    const writers = Promise.all(Array.from({ length: shape.writers }, write))
    this.#track(writers)
    await writers
    caller.close()
  }

  #sendSingles (): Promise<void>[] {
    const purposes = this.#options.endsSide ? ['halfClosed', 'overLimit'] as const : []
    return purposes.map(async purpose => {
      while (this.#isSending) {
        await sleep(singleGapsMs[purpose])
        const hosts = this.readyHosts
        if (hosts.length > 0) this.#track(this.#sendSingle(this.#pick(hosts), purpose))
      }
    })
  }

  /** Sends one request on a connection of its own, in one write. */
  async #sendSingle (host: HostProcess, purpose: keyof typeof singleGapsMs): Promise<void> {
    const { life, settings } = host
    const caller = await RawCaller.open(settings.callersAddress).catch(() => undefined)
    if (!caller) return
    const requestId = createRequestId()
    const request: RawRequest = purpose === 'halfClosed' ? this.#createRawRequest() : { kind: 'once', requestId, headerLines: this.#createHeaderLines(requestId), body: 'x'.repeat(this.#pick(overLimitBytes)) }
    const timer = setTimeout(() => caller.close(), callTimeoutMs)
    const sent = caller.send([request])
    if (purpose === 'halfClosed') caller.endSide()
    const [answer] = await sent
    const { sentAtMs: startedAtMs, endedAtMs } = answer!
    this.#options.record.calls.push({ answer: answer!, host: settings.hostName, life, adapter: request.adapter, account: this.#pickCredentials(answer!.requestId)?.account, startedAtMs, turnAtMs: startedAtMs, endedAtMs, purpose })
    clearTimeout(timer)
    caller.close()
  }

  /** Open connections are used until the process is gone, so these callers do not ask for readiness. */
  #sendBehindStreams (): Promise<void>[] {
    const { hosts, sendsBehindStreams } = this.#options
    return (sendsBehindStreams ? hosts : []).flatMap(host => Array.from({ length: behindStreamCallers }, async () => {
      for (let isUsed = false; this.#isSending; isUsed = !isUsed) {
        await sleep(behindStreamGapMs)
        const exchange = this.#sendBehindStream(host, isUsed)
        this.#track(exchange)
        await exchange
      }
    }))
  }

  /** On a connection that is fresh or has carried a request. */
  async #sendBehindStream (host: HostProcess, isUsed: boolean): Promise<void> {
    const { life, settings } = host
    const caller = await RawCaller.open(settings.callersAddress).catch(() => undefined)
    if (!caller) return
    const timer = setTimeout(() => caller.close(), callTimeoutMs)
    const note = (answer: RawAnswer, purpose: SoakCall['purpose'], adapter?: string, before?: RawAnswer): void => {
      const { sentAtMs: startedAtMs, endedAtMs } = answer
      const cutBy = before?.error === undefined ? {} : { cutBy: before.requestId }
      this.#options.record.calls.push({ answer, host: settings.hostName, life, adapter, account: this.#pickCredentials(answer.requestId)?.account, startedAtMs, turnAtMs: Math.max(startedAtMs, before?.endedAtMs ?? 0), endedAtMs, ...cutBy, purpose })
    }
    if (isUsed) note((await caller.send([this.#createRawRequest('idempotent')]))[0]!, 'pipelined')
    const first = this.#createRawRequest('stream')
    const streamed = caller.send([first])
    await sleep(this.#options.random() * maxBehindStreamMs)
    const [[stream], [behind]] = await Promise.all([streamed, caller.send([this.#createRawRequest('once')])])
    note(stream!, 'pipelined', first.adapter)
    note(behind!, 'behindStream', undefined, stream!)
    clearTimeout(timer)
    caller.close()
  }

  async #sendSlowly (): Promise<void> {
    while (this.#options.sendsSlowly && this.#isSending) {
      await sleep(slowGapMs)
      const hosts = this.readyHosts
      if (hosts.length > 0) this.callSlowly(this.#pick(hosts), drawSlowRequest(this.#options.random))
    }
  }

  /** Asks a host for a long answer, without an adapter, as long streams would keep its slot from others, and notes what came of it. */
  callSlowly (host: HostProcess, request: SlowRequest): void {
    const { life, settings } = host
    const requestId = createRequestId()
    const sent = sendSlowRequest(settings.callersAddress, request, { requestId, headerLines: this.#createHeaderLines(requestId) })
    this.#track(sent.then(result => {
      if (result) this.#options.record.calls.push({ ...result, host: settings.hostName, life, adapter: undefined, account: this.#pickCredentials(requestId)?.account, turnAtMs: result.startedAtMs, purpose: 'slow' })
    }))
  }

  #createRawRequest (kind = this.#pick(kinds)): RawRequest & { adapter?: string } {
    const requestId = createRequestId()
    return { kind, requestId, headerLines: this.#createHeaderLines(requestId), body: `question ${requestId}`, timeLeftMs: this.#pick(callerTimes), ...(isStreamed(kind) && { adapter: this.pickAdapter() }) }
  }

  #createHeaderLines (requestId: string): string[] {
    return Object.entries(this.#pickCredentials(requestId)?.headers ?? {}).map(([name, value]) => `${name}: ${value}`)
  }

  #track (work: Promise<unknown>): void {
    this.#open.add(work)
    work.finally(() => this.#open.delete(work))
  }

  async #watchReadiness (): Promise<void> {
    while (this.#isSending) {
      await Promise.all(this.#options.hosts.map(async host => {
        const isReady = await this.#caller.readStatus(host.settings.readinessAddress, '/', { signal: AbortSignal.timeout(readinessTimeoutMs) }).then(status => status === 200, () => false)
        if (isReady) this.#ready.add(host)
        else this.#ready.delete(host)
      }))
      await sleep(readinessIntervalMs)
    }
  }

  /** Asks each host for the newest route and for one it may have known before. */
  async #probeConfigurations (): Promise<void> {
    const { hosts } = this.#options
    while (this.#isSending) {
      await sleep(probeIntervalMs)
      const version = this.#pickConfiguration()
      if (version !== undefined) await Promise.all(hosts.map(async host => await this.#probe(host, version)))
    }
  }

  #pickConfiguration (): number | undefined {
    const { configurations } = this.#options.record
    const known = configurations.length > 0 ? this.#pick(configurations) : undefined
    return (this.#options.random() < 0.5 ? configurations.at(-1) : known)?.version
  }

  async #probe (host: HostProcess, version: number): Promise<void> {
    const { record } = this.#options
    const { life, settings } = host
    const askedAtMs = performance.now()
    const requestId = createRequestId()
    record.probeIds.add(requestId)
    try {
      const status = await this.#caller.readStatus(settings.callersAddress, `${formatProbePath(version)}x`, { requestId, signal: AbortSignal.timeout(probeTimeoutMs) })
      record.probes.push({ host: settings.hostName, life, version, status, askedAtMs, endedAtMs: performance.now() })
    } catch {
      // A host that is away answers nothing, which is judged by the callers' own calls.
    }
  }
}
