/** The scheduler: owns endpoints, answers gateways and tells them what its endpoints hold. */
import { createLog } from '../../createLog.js'
import { SuspectRegister } from '../../core/suspects.js'
import type { CreatePlanner } from '../../core/planner.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Engine } from '../../ports/engine.js'
import type { PeerLink, PeerServer, PeerTransport } from '../../ports/peers.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { Decision, DecisionDraft } from '../../schemas/decision.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { Dispatch, PeerMessage } from '../../schemas/peerMessage.js'
import { createNotRun } from '../../schemas/verdict.js'
import type { Ownership, OwnershipEvent, SendOwnershipEvent } from '../ownership/ownership.js'
import { EndpointTask } from './endpointTask.js'
import type { EndpointCrash, Reply, RequestPermit } from './endpointTask.js'

const log = createLog('scheduler')
const summaryIntervalMs = 250
/** Changes within this time travel in one summary. */
const changeDelayMs = 5

export interface SchedulerTaskOptions {
  hostId: string
  zone: string
  clock: Clock
  engine: Engine
  createPlanner: CreatePlanner
  createOwnership: (send: SendOwnershipEvent) => Ownership
  requestPermit: RequestPermit
  peerTransport: PeerTransport
  peers: { address: string, port: number, key: string }
}

interface OpenLink {
  link: PeerLink
  reply: Reply
}

export class SchedulerTask {
  #options: SchedulerTaskOptions
  #ownership: Ownership
  #endpoints = new Map<string, EndpointTask>()
  #links = new Map<PeerLink, OpenLink>()
  #server: PeerServer | undefined
  #summaries: Repetition | undefined
  #change: Timer | undefined
  #sequence = 0
  #isLeaving = false
  #suspects = new SuspectRegister()

  constructor (options: SchedulerTaskOptions) {
    this.#options = options
    this.#ownership = options.createOwnership(event => this.#receiveOwnership(event))
  }

  /** Port on which peers connect, once started. */
  get port (): number {
    return this.#server?.port ?? 0
  }

  async start (): Promise<void> {
    this.#server = await this.#options.peerTransport.serve({
      ...this.#options.peers,
      events: {
        receive: (link, message) => this.#receive(link, message),
        closed: link => this.#receiveClosed(link)
      },
      receiveRefusal: () => {}
    })
    this.#ownership.start()
    this.#summaries = repeatTask(this.#options.clock, summaryIntervalMs, async () => this.#sendSummaries(), () => {})
    log('Scheduler "%s" takes links of peers on port %d.', this.#options.hostId, this.port)
  }

  /** Ends gracefully: what runs ends first, then the endpoints are handed over. */
  async stop (): Promise<void> {
    this.#isLeaving = true
    this.#sendSummaries()
    await Promise.all([...this.#endpoints.values()].map(async endpoint => await endpoint.drain()))
    await this.#ownership.stop()
    this.#summaries?.stop()
    this.#change?.cancel()
    await this.#server?.stop()
    log('Scheduler "%s" has stopped.', this.#options.hostId)
  }

  #receive (link: PeerLink, message: PeerMessage): void {
    if (message.type === 'hello') {
      this.#links.set(link, { link, reply: answer => link.send(answer) })
      link.send(this.#createSummaries())
      link.send({ type: 'suspects', suspects: this.#suspects.listRecords() })
    } else if (message.type === 'dispatch') {
      this.#receiveDispatch(link, message)
    } else if (message.type === 'cancel') {
      for (const endpoint of this.#endpoints.values()) endpoint.receiveCancel(message.requestId, message.attempt)
    }
  }

  #receiveClosed (link: PeerLink): void {
    const open = this.#links.get(link)
    if (!open) return
    this.#links.delete(link)
    for (const endpoint of this.#endpoints.values()) endpoint.receiveClosedLink(open.reply)
  }

  #receiveDispatch (link: PeerLink, dispatch: Dispatch): void {
    const open = this.#links.get(link)
    if (!open) return
    const endpoint = this.#endpoints.get(dispatch.endpointId)
    if (endpoint) {
      endpoint.receiveDispatch(dispatch, open.reply)
      return
    }
    const failure = createNotRun('not_owner', `host "${this.#options.hostId}" does not own endpoint "${dispatch.endpointId}"`, 503)
    open.reply({ type: 'answerFailed', requestId: dispatch.requestId, attempt: dispatch.attempt, failure })
  }

  #receiveOwnership (event: OwnershipEvent): void {
    if (event.type === 'gained') {
      log('Endpoint "%s" is owned now, with fencing number %d.', event.entry.id, event.fencing)
      this.#startEndpoint(event.entry, event.fencing, event.unsafeHandles)
    } else if (event.type === 'changed') {
      this.#endpoints.get(event.entry.id)?.receiveEntry(event.entry)
    } else {
      log('Endpoint "%s" is no longer owned: %s.', event.endpointId, event.reason)
      this.#endpoints.get(event.endpointId)?.stop(event.reason)
      this.#endpoints.delete(event.endpointId)
    }
    this.#receiveChange()
  }

  #startEndpoint (entry: EngineEntry, fencing: number, unsafeHandles: string[]): void {
    const { clock, engine, createPlanner, requestPermit } = this.#options
    const endpoint = new EndpointTask({
      clock,
      engine,
      entry,
      fencing,
      unsafeHandles,
      planner: createPlanner({ endpointId: entry.id, slots: entry.slots, batchLimit: entry.batchLimit }),
      ownership: this.#ownership,
      requestPermit,
      recordDecision: draft => this.#recordDecision(draft),
      receiveCrash: crash => this.#receiveCrash(crash),
      receiveChange: () => this.#receiveChange()
    })
    this.#endpoints.set(entry.id, endpoint)
    endpoint.start()
  }

  #recordDecision (draft: DecisionDraft): void {
    const decision: Decision = { ...draft, host: this.#options.hostId, atMs: this.#options.clock.readWall() }
    for (const { link } of this.#links.values()) link.send({ type: 'decisions', decisions: [decision] })
  }

  #receiveCrash (crash: EndpointCrash): void {
    log('Engine "%s" went away with %d requests on it.', crash.endpointId, crash.fingerprints.length)
    const crashes = [`${crash.endpointId}/${crash.incarnation}`]
    const suspects = crash.fingerprints.map(fingerprint => ({ fingerprint, crashes }))
    const nowMs = this.#options.clock.readMonotonic()
    for (const suspect of suspects) this.#suspects.addRecord(suspect, nowMs)
    for (const { link } of this.#links.values()) link.send({ type: 'suspects', suspects })
  }

  #receiveChange (): void {
    if (this.#change) return
    this.#change = this.#options.clock.setTimer(() => {
      this.#change = undefined
      this.#sendSummaries()
    }, changeDelayMs)
  }

  #createSummaries (): PeerMessage {
    return {
      type: 'endpointSummaries',
      hostId: this.#options.hostId,
      sequence: ++this.#sequence,
      isLeaving: this.#isLeaving,
      endpoints: [...this.#endpoints.values()].map(endpoint => endpoint.readSummary())
    }
  }

  #sendSummaries (): void {
    if (this.#links.size === 0) return
    const summaries = this.#createSummaries()
    for (const { link } of this.#links.values()) link.send(summaries)
  }
}
