/** The software versions that a service has, or had so lately that their streams may be taken up. */
import type { EndpointEntry } from '../schemas/routing.js'
import type { ClusterView } from './clusterView.js'

/** In the last third of its time a stream can hardly be taken up and completed. */
const takeUpRatio = 2 / 3
/**
 * Within this time after a version has shown, all hosts know of it and have saved the records of the streams that they run. It is added no
 * earlier, as long as enough endpoints of other versions serve, so that no stream has begun at it.
 */
export const versionNoticeMs = 1000
/** Endpoints of a new version are not left idle for longer than this. */
const maxTakeUpMs = 10_000
/** Endpoints whose entries the store has lost write them again within about two seconds of its return. */
export const entryReturnMs = 2500

/**
 * Lists the versions in the service's row and of its endpoints, leaving ones included. Streams of the service can be told apart
 * without a record only if there is one.
 *
 * @example
 * listServiceVersions(clusterView, 'llm-pool', nowMs) // ['v1', 'v1.1']
 */
export function listServiceVersions (clusterView: ClusterView, service: string, nowMs: number): string[] {
  const present = clusterView.endpoints.list(nowMs).filter(entry => entry.service === service).map(entry => entry.softwareVersion)
  return [...new Set([...clusterView.serviceVersions.get(service)?.row.versions ?? [], ...present])]
}

/**
 * Whether endpoints of recorded versions are at least half of those that accept requests, so that they can serve without the others for
 * some seconds.
 *
 * @example
 * hasEnoughRecorded(clusterView.endpoints.listUsable('llm-pool', nowMs), ['v1']) // false: 2 of 6 endpoints have version v1
 */
export function hasEnoughRecorded (usable: readonly Pick<EndpointEntry, 'softwareVersion'>[], versions: readonly string[]): boolean {
  return usable.filter(({ softwareVersion }) => versions.includes(softwareVersion)).length * 2 >= usable.length
}

/**
 * Computes the time after the end of a host in which its callers take up their streams, by the longest route of the service that may
 * be resumed.
 *
 * @example
 * computeTakeUpMs(clusterView, 'llm-pool') // 4000, where callers wait for 6 s
 */
export function computeTakeUpMs (clusterView: ClusterView, service: string): number {
  const routes = clusterView.routes?.configuration.routes ?? []
  const timeoutsMs = routes.filter(route => route.isResumable && route.targets.some(target => target.service === service)).map(({ timeoutMs }) => timeoutMs)
  return Math.min(maxTakeUpMs, takeUpRatio * Math.max(0, ...timeoutsMs))
}

/**
 * Lists the services that streams run on, by the routes of the configuration.
 *
 * @example
 * listStreamServices(clusterView) // ['llm-pool']
 */
export function listStreamServices (clusterView: ClusterView): string[] {
  const routes = clusterView.routes?.configuration.routes ?? []
  return [...new Set(routes.filter(route => route.kind === 'stream').flatMap(route => route.targets.map(({ service }) => service)))]
}
