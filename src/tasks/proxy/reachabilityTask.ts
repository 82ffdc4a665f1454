/** Finds which endpoints this host reaches, and whether it has lost all those of a service or all there are. */
import { isAnyContactRecent, isServiceStranded, isUnreachable, shouldProbe } from '../../core/endpointReachability.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { EndpointLinks } from './endpointLinks.js'

export interface ReachabilityTaskOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  links: EndpointLinks
}

const checkIntervalMs = 100
/** While no endpoint of a service is in reach, a request that has received nothing for this long is given up at its endpoint. */
const maxSilenceMs = 1000
/** Endpoints that are probed to tell whether another one or this host's links are to blame. */
const maxConfirmingProbes = 3

export class ReachabilityTask {
  #options: ReachabilityTaskOptions
  #timer: Timer | undefined
  #lastProbesAtMs = new Map<string, number>()
  /** Endpoints that the last check found unreachable. */
  #unreachableIds = new Set<string>()
  /** Services of which this host reached no endpoint at the last check. */
  #strandedServices = new Set<string>()
  #isHostStranded = false

  constructor (options: ReachabilityTaskOptions) {
    this.#options = options
  }

  start (): void {
    const check = (): void => {
      this.#check()
      this.#timer = this.#options.clock.setTimer(check, checkIntervalMs)
    }
    check()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Whether this host could open no connection to an endpoint at the last check. */
  isUnreachable (endpointId: string): boolean {
    return this.#unreachableIds.has(endpointId)
  }

  /** Whether this host reaches no endpoint of a service, as far as it knows. */
  isStranded (service: string): boolean {
    return this.#strandedServices.has(service)
  }

  /** Whether this host has lost its links to all endpoints. */
  get isHostStranded (): boolean {
    return this.#isHostStranded
  }

  /** Whether this host reaches an endpoint other than one, or there is no other. */
  async hasOtherContact (endpointId: string): Promise<boolean> {
    const { clock, clusterView, links } = this.#options
    const others = clusterView.endpoints.list(clock.readMonotonic()).filter(({ id, isLeaving }) => id !== endpointId && !isLeaving)
    const known = others.flatMap(({ id }) => links.find(id) ?? [])
    if (others.length === 0 || isAnyContactRecent(known.map(link => link.activity), clock.readMonotonic())) return true
    const probed = others.slice(0, maxConfirmingProbes).map(async endpoint => await links.get(endpoint).probe())
    return (await Promise.all(probed)).includes('open')
  }

  #check (): void {
    const { clock, clusterView } = this.#options
    const nowMs = clock.readMonotonic()
    const endpoints = clusterView.endpoints.list(nowMs)
    const unreachableIds = new Set(endpoints.filter(({ id }) => this.#isLinkFailing(id, nowMs)).map(({ id }) => id))
    for (const endpoint of endpoints) {
      this.#logChange(endpoint, unreachableIds)
      this.#probeIfNeeded(endpoint, unreachableIds, nowMs)
    }
    this.#unreachableIds = unreachableIds
    for (const id of [...this.#lastProbesAtMs.keys()]) if (!endpoints.some(endpoint => endpoint.id === id)) this.#lastProbesAtMs.delete(id)
    this.#updateStranded(endpoints.filter(({ isLeaving }) => !isLeaving), nowMs)
  }

  #isLinkFailing (endpointId: string, nowMs: number): boolean {
    const link = this.#options.links.find(endpointId)
    return link !== undefined && isUnreachable(link.activity, nowMs)
  }

  #updateStranded (endpoints: readonly EndpointEntry[], nowMs: number): void {
    // While every endpoint is in reach, as nearly always, there is nothing to find out.
    const services = this.#unreachableIds.size === 0 ? [] : [...new Set(endpoints.map(({ service }) => service))]
    this.#strandedServices = new Set(services.filter(service => this.#isNoneInReach(endpoints.filter(endpoint => endpoint.service === service), nowMs)))
    for (const endpoint of endpoints) if (this.#strandedServices.has(endpoint.service)) this.#giveUpSilent(endpoint, nowMs)
    const isHostStranded = this.#strandedServices.size > 0 && this.#isNoneInReach(endpoints, nowMs)
    if (isHostStranded === this.#isHostStranded) return
    this.#isHostStranded = isHostStranded
    const { log } = this.#options
    if (isHostStranded) log.record('host.stranded', 'This host reaches none of the endpoints; others serve its requests and own its engines.', { endpoints: endpoints.length })
    else log.record('host.connected', 'This host reaches endpoints again.', {})
  }

  #isNoneInReach (endpoints: readonly EndpointEntry[], nowMs: number): boolean {
    return isServiceStranded(endpoints.map(({ id }) => this.#options.links.find(id)?.activity), nowMs)
  }

  /** Requests whose connections lead nowhere are tried elsewhere or answered, rather than held until their deadlines. */
  #giveUpSilent ({ id }: EndpointEntry, nowMs: number): void {
    const link = this.#options.links.find(id)
    if (link && this.#unreachableIds.has(id) && nowMs - link.activity.lastContactAtMs >= maxSilenceMs) link.giveUpSilent(nowMs - maxSilenceMs, 'this host has lost its links to the endpoints of the service')
  }

  #logChange ({ id, service, address }: EndpointEntry, unreachableIds: ReadonlySet<string>): void {
    const { log, links } = this.#options
    if (unreachableIds.has(id) === this.#unreachableIds.has(id)) return
    if (unreachableIds.has(id)) log.record('endpoint.unreachable', 'This host can open no connection to an endpoint.', { endpointId: id, service, address, ...links.find(id)?.activity })
    else log.record('endpoint.reachable', 'This host reaches an endpoint again.', { endpointId: id, service })
  }

  #probeIfNeeded (endpoint: EndpointEntry, unreachableIds: ReadonlySet<string>, nowMs: number): void {
    const { id } = endpoint
    const link = this.#options.links.find(id)
    const isOtherUnreachable = unreachableIds.size > (unreachableIds.has(id) ? 1 : 0)
    if (!link && !isOtherUnreachable) return
    const activity = link?.activity ?? { lastContactAtMs: -Infinity, waitingSinceMs: undefined, connectFailingSinceMs: undefined }
    if (!shouldProbe(activity, { nowMs, lastProbeAtMs: this.#lastProbesAtMs.get(id) ?? -Infinity, isOtherUnreachable })) return
    this.#lastProbesAtMs.set(id, nowMs)
    this.#options.links.get(endpoint).probe()
  }
}
