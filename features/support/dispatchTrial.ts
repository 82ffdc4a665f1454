/** Replays requests of many hosts to a few endpoints of a plain service on a virtual clock, with the hosts' own selectors and granters. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { DispatchGranters } from '../../src/core/dispatch/dispatchGranters.js'
import { EndpointDirectory } from '../../src/core/endpointDirectory.js'
import { EndpointHealth } from '../../src/core/endpointHealth.js'
import { EndpointNotices } from '../../src/core/endpointNotices.js'
import type { EndpointLink } from '../../src/ports/endpointLink.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import type { HostMessage, ReservationReply } from '../../src/schemas/datagram.js'
import type { HostRow } from '../../src/schemas/hostRows.js'
import type { EndpointEntry, Route } from '../../src/schemas/routing.js'
import { DispatchEndpoints } from '../../src/tasks/allocation/dispatchEndpoints.js'
import { DispatchClient } from '../../src/tasks/proxy/dispatchClient.js'
import { DispatchSelector } from '../../src/tasks/proxy/dispatchSelector.js'
import type { EndpointQuery, SelectedEndpoint } from '../../src/tasks/proxy/endpointSelector.js'
import { ReservationClient } from '../../src/tasks/proxy/reservationClient.js'
import { ServiceSelector } from '../../src/tasks/proxy/serviceSelector.js'

export interface DispatchTrialOptions {
  seed: number
  /** Whether requests are granted; otherwise each host chooses by itself, as it does where endpoints report no slowness. */
  isDispatched: boolean
  requestsPerSecond: number
  /** Rate at a time, as a multiple of the usual one. */
  computeLoad: (atMs: number) => number
}

/** What became of the requests. */
export interface DispatchCounts {
  arrivals: number
  onTime: number
  late: number
  refused: number
  /** Refusals of a caller's first attempt, and the longest time that one took. */
  refusedFirst: number
  /** Of all that reached an endpoint. */
  rejected: number
  sent: number
  asks: number
  messages: number
}

interface TrialEndpoint {
  entry: EndpointEntry
  running: number
  queue: (() => void)[]
  longestQueue: number
  isSlow: boolean
  mostAtOnce: number
}

interface TrialHost {
  name: string
  row: HostRow
  isDead: boolean
  frozenUntilMs: number
  view: { hosts: Map<string, { row: HostRow, version: number }>, hostsVersion: number, endpoints: EndpointDirectory }
  health: EndpointHealth
  reservations: ReservationClient
  granters: DispatchEndpoints
  selector: ServiceSelector
}

export const trialPlaces = 6
const endpointCount = 3
const hostCount = 80
const queueLength = 24
const targetMs = 199
const timeoutMs = 800
const usualWorkMs = 30
const slowFactor = 2.5
const slowMs = 600
/** Part of the time in which one of the endpoints is slow. */
const slowPart = 0.27
/** Spread of the logarithm of work times; with it and the slow times a request takes 42.9 ms on average. */
const workSpread = 0.7
const service = 'desk'
const maxCallerAttempts = 3

export class DispatchTrial {
  readonly clock = new VirtualClock()
  readonly hosts: TrialHost[]
  readonly endpoints: TrialEndpoint[]
  counts: DispatchCounts = createCounts()
  /** Longest time until a refusal was given, and the delays that refusals named. */
  longestRefusalMs = 0
  readonly retryDelaysMs: number[] = []
  isLost: (message: HostMessage) => boolean = () => false
  #options: DispatchTrialOptions
  #random: () => number
  #nextRequest = 1

  constructor (options: DispatchTrialOptions) {
    this.#options = options
    const generator = xoroshiro128plus(options.seed)
    this.#random = () => uniformFloat64(generator)
    this.endpoints = Array.from({ length: endpointCount }, (_, index) => ({ entry: createEntry(index + 1), running: 0, queue: [], longestQueue: 0, isSlow: false, mostAtOnce: 0 }))
    const rows = Array.from({ length: hostCount }, (_, index): HostRow => ({ host: `front-${index + 1}`, address: `10.0.0.${index + 1}`, zone: index % 2 === 0 ? 'a' : 'b', session: `s${index + 1}`, isLeaving: false, processorShare: index % 4 === 0 ? 1 : 0.243 }))
    this.hosts = rows.map(row => this.#createHost(row, rows))
  }

  /** The hosts that grant requests to an endpoint, from 0 on. */
  findGranter (endpointNumber: number): TrialHost {
    const [granter] = new DispatchGranters(this.hosts[0]!.view).list(this.endpoints[endpointNumber]!.entry.id)
    return this.hosts.find(({ name }) => name === granter!.host)!
  }

  /** Lets callers send requests for a time, after which those that are under way end. */
  async run (ms: number): Promise<void> {
    const endsAtMs = this.clock.readMonotonic() + ms
    const drawSlow = (): void => {
      const slow = this.#random() < slowPart ? Math.floor(this.#random() * endpointCount) : -1
      for (const [index, endpoint] of this.endpoints.entries()) endpoint.isSlow = index === slow
      if (this.clock.readMonotonic() < endsAtMs) this.clock.setTimer(drawSlow, slowMs)
    }
    const addArrival = (): void => {
      if (this.clock.readMonotonic() >= endsAtMs) return
      const perMs = this.#options.requestsPerSecond * this.#options.computeLoad(this.clock.readMonotonic()) / 1000
      this.clock.setTimer(addArrival, -Math.log(1 - this.#random()) / perMs)
      this.counts.arrivals++
      this.#call(this.clock.readMonotonic(), 1)
    }
    drawSlow()
    addArrival()
    await this.clock.runUntilSettled(endsAtMs + timeoutMs * 2)
  }

  /** The endpoint leaves: all hosts learn of it. */
  removeEndpoint (endpointNumber: number): void {
    const { entry } = this.endpoints[endpointNumber]!
    for (const host of this.hosts) {
      host.view.endpoints.recordEntry({ ...entry, isLeaving: true }, this.clock.readMonotonic())
      host.granters.receiveEntry(entry.id, { ...entry, isLeaving: true })
    }
  }

  /** Some hosts no longer have another one in their view, and have another granter. */
  hideHost (hidden: TrialHost, isBlind: (index: number) => boolean): void {
    for (const [index, { view }] of this.hosts.entries()) {
      if (!isBlind(index)) continue
      view.hosts.delete(hidden.name)
      view.hostsVersion++
    }
  }

  #createHost (row: HostRow, rows: readonly HostRow[]): TrialHost {
    const { clock } = this
    const log = { record: () => {} }
    const view = { hosts: new Map(rows.map(other => [other.host, { row: other, version: 1 }])), hostsVersion: 1, endpoints: new EndpointDirectory() }
    for (const { entry } of this.endpoints) view.endpoints.recordEntry(entry, 0)
    const health = new EndpointHealth()
    const notices = new EndpointNotices()
    const own = { host: row.host, zone: row.zone }
    const getLink = (): EndpointLink => undefined as unknown as EndpointLink
    const granters = new DispatchEndpoints({ clock, log, host: row.host, clusterView: view })
    const reservations: ReservationClient = new ReservationClient({
      clock, datagrams: { send: (address, message) => this.#send(host, address, message), receive: () => {}, close: () => {} }, ownAddress: row.address, findLimitStatement: () => undefined, deliverLocally: message => this.#deliver(host, host, message)
    })
    const dispatch = new DispatchSelector({ clock, clusterView: view, health, notices, places: new DispatchClient({ clock, log, clusterView: view, reservations }), own, random: this.#random, getLink })
    const selector = new ServiceSelector({
      clock, clusterView: view, health, notices, limitGrants: { requestGrant: async () => ({ kind: 'silent' }) }, dispatch: { isUsedFor: (...query) => this.#options.isDispatched && dispatch.isUsedFor(...query), selectEndpoint: async (query, usable) => await dispatch.selectEndpoint(query, usable) }, own, random: this.#random, getLink
    })
    const host: TrialHost = { name: row.host, row, isDead: false, frozenUntilMs: 0, view, health, reservations, granters, selector }
    return host
  }

  /** Time of a message between two hosts, and until the receiver's little processor time suffices to handle it. */
  #drawTripMs (): number {
    return 0.2 + this.#random() * 0.3 - Math.log(1 - this.#random()) * 2 + (this.#random() < 0.03 ? 20 : 0)
  }

  #send (sender: TrialHost, address: string, message: HostMessage): void {
    this.counts.messages++
    if (message.type === 'ask') this.counts.asks++
    const receiver = this.hosts.find(({ row }) => row.address === address)!
    if (this.isLost(message)) return
    this.clock.setTimer(() => this.#receive(sender, receiver, message), this.#drawTripMs())
  }

  /** Messages to a frozen host wait in its socket. */
  #receive (sender: TrialHost, receiver: TrialHost, message: HostMessage): void {
    const nowMs = this.clock.readMonotonic()
    if (receiver.isDead || sender.isDead) return
    if (receiver.frozenUntilMs > nowMs) this.clock.setTimer(() => this.#receive(sender, receiver, message), receiver.frozenUntilMs - nowMs)
    else this.#deliver(sender, receiver, message)
  }

  #deliver (sender: TrialHost, receiver: TrialHost, message: HostMessage): void {
    const reply = (answer: HostMessage): void => sender === receiver ? this.#deliver(receiver, sender, answer) : this.#send(receiver, sender.row.address, answer)
    if (message.type === 'ask') receiver.granters.receiveRequest(`${sender.row.session}.${message.id}`, message, reply)
    else if (message.type === 'done') {
      receiver.granters.receiveRelease(message.endpointId, `${sender.row.session}.${message.id}`, message)
      if (sender !== receiver) reply({ type: 'doneReceived', ids: [message.id] })
    } else if (message.type === 'doneReceived') receiver.reservations.receiveConfirmation(message.ids)
    else receiver.reservations.receiveReply(message as ReservationReply)
  }

  #pickHost (): TrialHost {
    const running = this.hosts.filter(({ isDead, frozenUntilMs }) => !isDead && frozenUntilMs <= this.clock.readMonotonic())
    return running[Math.floor(this.#random() * running.length)]!
  }

  /** One attempt of a caller whose first one began at `beganAtMs`. */
  async #call (beganAtMs: number, attempt: number): Promise<void> {
    const { clock } = this
    const sentAtMs = clock.readMonotonic()
    const host = this.#pickHost()
    const query = createQuery(this.#nextRequest++, beganAtMs)
    const selection = await host.selector.selectEndpoint(query, host.view.endpoints.listUsable(service, sentAtMs))
    const retryAfterMs = selection.kind === 'found' ? await this.#trySend(host, selection.target, beganAtMs) : selection.retryAfterMs
    if (retryAfterMs === undefined) return
    this.counts.refused++
    this.retryDelaysMs.push(retryAfterMs)
    if (attempt === 1) {
      this.counts.refusedFirst++
      this.longestRefusalMs = Math.max(this.longestRefusalMs, clock.readMonotonic() - beganAtMs)
    }
    if (attempt < maxCallerAttempts && clock.readMonotonic() + retryAfterMs < beganAtMs + timeoutMs) clock.setTimer(() => { this.#call(beganAtMs, attempt + 1) }, retryAfterMs)
  }

  /** Sends a request to an endpoint; resolves with a delay if the endpoint rejects it. */
  async #trySend ({ health }: TrialHost, { endpoint: { id }, release }: SelectedEndpoint, beganAtMs: number): Promise<number | undefined> {
    const endpoint = this.endpoints.find(({ entry }) => entry.id === id)!
    const startedAtMs = this.clock.readMonotonic()
    health.recordRequestStart(id)
    const isServed = await new Promise<boolean>(resolve => this.clock.setTimer(() => this.#receiveAt(endpoint, resolve), 0.3))
    const load = { running: endpoint.running, waiting: endpoint.queue.length, places: trialPlaces, slowness: endpoint.isSlow ? slowFactor : 1 }
    await new Promise<void>(resolve => this.clock.setTimer(resolve, this.#drawTripMs()))
    const nowMs = this.clock.readMonotonic()
    health.recordLoad(id, load, nowMs)
    health.recordRequestEnd(id)
    if (isServed) health.recordSuccess(id, nowMs - startedAtMs)
    release(isServed ? 'served' : 'rejected', isServed ? nowMs - startedAtMs : -1, { slowness: load.slowness, busy: load.running + load.waiting, ...(isServed && { tookMs: nowMs - startedAtMs }) })
    if (!isServed) return 300
    if (nowMs - beganAtMs <= targetMs) this.counts.onTime++
    else this.counts.late++
    return undefined
  }

  #receiveAt (endpoint: TrialEndpoint, end: (isServed: boolean) => void): void {
    this.counts.sent++
    const run = (): void => {
      endpoint.running++
      this.clock.setTimer(() => {
        end(true)
        endpoint.running--
        endpoint.queue.shift()?.()
      }, usualWorkMs * (endpoint.isSlow ? slowFactor : 1) * Math.exp(workSpread * this.#drawNormal()))
    }
    if (endpoint.running < trialPlaces) run()
    else if (endpoint.queue.length < queueLength) endpoint.queue.push(run)
    else {
      this.counts.rejected++
      end(false)
    }
    endpoint.mostAtOnce = Math.max(endpoint.mostAtOnce, endpoint.running + endpoint.queue.length)
  }

  #drawNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.#random())) * Math.cos(2 * Math.PI * this.#random())
  }
}

export function createCounts (): DispatchCounts {
  return { arrivals: 0, onTime: 0, late: 0, refused: 0, refusedFirst: 0, rejected: 0, sent: 0, asks: 0, messages: 0 }
}

/** Waves of up to 1.55 times the usual rate, and bursts of 1.7 to 2.5 times of it for two seconds in ten. */
export function computeWaves (atMs: number): number {
  const wave = 1 + 0.55 * Math.max(0, Math.sin(atMs / 3000))
  const burst = atMs % 10_000 < 2000 ? 1.7 + 0.8 * (Math.floor(atMs / 10_000) % 3) / 2 : 0
  return Math.max(wave, burst)
}

export function createEntry (number: number): EndpointEntry {
  return { id: `i-${number}`, service, address: `10.1.0.${number}:80`, zone: number % 2 === 0 ? 'b' : 'a', isLeaving: false, goneInMs: undefined, places: trialPlaces, softwareVersion: '', startedAtMs: 1, models: [], orderCount: 0 }
}

export function createQuery (number: number, beganAtMs: number): EndpointQuery {
  const request: CallerRequest = {
    requestId: `r${number}`, method: 'POST', callerKey: '', path: '/once/', host: 'fleet.example', headers: [], body: undefined, receivedAtMs: beganAtMs, timeLeftMs: timeoutMs, lastEventId: undefined, isResumption: false, resumedRequestId: undefined, model: '', adapter: '', promptTokens: 0, maxTokens: 0, promptSegments: []
  }
  const route: Route = { name: 'once', hostname: 'fleet.example', prefix: '/once/', kind: 'once', isResumable: false, timeoutMs, targetMs, maxGapMs: undefined, patienceMs: timeoutMs, rank: 0, isPublic: false, maxAttempts: 1, targets: [{ service, weight: 1 }] }
  return { request, route, service, account: undefined, softwareVersion: undefined, isResumed: false, attemptedEndpointIds: [], dueAtMs: beganAtMs + targetMs, abandonAtMs: beganAtMs + timeoutMs, deadlineAtMs: beganAtMs + timeoutMs, hasEnded: () => false }
}
