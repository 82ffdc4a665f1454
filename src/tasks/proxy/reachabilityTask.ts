/** Finds which endpoints this host reaches, and whether it has lost all those of a service or all there are. */
import { isUnreachable, shouldProbe } from '../../core/endpointReachability.js'
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

export class ReachabilityTask {
  #options: ReachabilityTaskOptions
  #timer: Timer | undefined
  #lastProbesAtMs = new Map<string, number>()
  /** Endpoints that the last check found unreachable. */
  #unreachableIds = new Set<string>()
  #isStranded = false

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

  /** Whether this host can open no connection to an endpoint. */
  isUnreachable (endpointId: string): boolean {
    const { clock, links } = this.#options
    const link = links.find(endpointId)
    return link !== undefined && isUnreachable(link.activity, clock.readMonotonic())
  }

  #check (): void {
    const { clock, clusterView, log, links } = this.#options
    const nowMs = clock.readMonotonic()
    const endpoints = clusterView.endpoints.list(nowMs)
    const unreachableIds = new Set(endpoints.filter(({ id }) => this.isUnreachable(id)).map(({ id }) => id))
    for (const endpoint of endpoints) {
      const { id, service, address } = endpoint
      const hasChanged = unreachableIds.has(id) !== this.#unreachableIds.has(id)
      if (hasChanged && unreachableIds.has(id)) log.record('endpoint.unreachable', 'This host can open no connection to an endpoint.', { endpointId: id, service, address, ...links.find(id)?.activity })
      else if (hasChanged) log.record('endpoint.reachable', 'This host reaches an endpoint again.', { endpointId: id, service })
      this.#probeIfNeeded(endpoint, unreachableIds, nowMs)
    }
    this.#unreachableIds = unreachableIds
    for (const id of [...this.#lastProbesAtMs.keys()]) if (!endpoints.some(endpoint => endpoint.id === id)) this.#lastProbesAtMs.delete(id)
    const isStranded = isAllUnreachable(endpoints.filter(({ isLeaving }) => !isLeaving), unreachableIds)
    if (isStranded === this.#isStranded) return
    this.#isStranded = isStranded
    if (isStranded) log.record('host.stranded', 'This host reaches none of the endpoints.', { endpoints: endpoints.length })
    else log.record('host.connected', 'This host reaches endpoints again.', {})
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

function isAllUnreachable (endpoints: readonly EndpointEntry[], unreachableIds: ReadonlySet<string>): boolean {
  return endpoints.length > 0 && endpoints.every(({ id }) => unreachableIds.has(id))
}
