/**
 * Keeps the row of each service that lists its software versions. A version is added before its endpoints get requests, and
 * removed when no endpoint has had it for so long that none of its streams can be taken up.
 */
import type { ClusterView } from '../../core/clusterView.js'
import { streamTtlMs } from '../../core/begunStreams.js'
import { computeHash } from '../../core/rendezvousHash.js'
import { computeTakeUpMs, entryReturnMs, hasEnoughRecorded, listServiceVersions, listStreamServices, versionNoticeMs } from '../../core/serviceVersions.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { encodeHostsRow, formatServiceVersionsKey, hostsTable } from '../../schemas/hostRows.js'

export interface ServiceVersionTaskOptions {
  clock: Clock
  log: EventLog
  own: { host: string }
  clusterView: ClusterView
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Applies a row that this host has written or read to its own view. */
  applyRow: (row: StoreRow) => void
}

const checkIntervalMs = 1000
/** The hosts write a missing version in turn, in case that those before them are down. */
const writeStaggerMs = 400

export class ServiceVersionTask {
  #options: ServiceVersionTaskOptions
  #timer: Timer | undefined
  /** Since when the row of a service is out of date, by service. */
  #outdatedSinceMs = new Map<string, number>()
  /** When this host last knew an endpoint of a version in a service's row, by service and version. */
  #presentAtMs = new Map<string, number>()
  #writing = new Set<string>()
  #startedAtMs = Infinity
  #isStopped = false

  constructor (options: ServiceVersionTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#startedAtMs = this.#options.clock.readMonotonic()
    this.check()
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Writes the rows that are out of date. Called at intervals, and when an endpoint, a row or the configuration has changed. */
  check (): void {
    if (this.#isStopped) return
    const { clock, clusterView } = this.#options
    const nowMs = clock.readMonotonic()
    let nextCheckMs = checkIntervalMs
    for (const service of listStreamServices(clusterView)) {
      const present = new Set(clusterView.endpoints.list(nowMs).filter(entry => entry.service === service).map(entry => entry.softwareVersion))
      const row = clusterView.serviceVersions.get(service)?.row
      const recorded = row?.versions ?? []
      for (const version of present) this.#presentAtMs.set(`${service} ${version}`, nowMs)
      const expired = recorded.filter(version => this.#hasExpired(service, version, nowMs))
      // A row from before the store was restored is written again, with the versions that the store may have lost.
      if (expired.length === 0 && !clusterView.isUncertainRow(row) && [...present].every(version => recorded.includes(version))) {
        this.#outdatedSinceMs.delete(service)
        continue
      }
      const turnMs = this.#computeTurnMs(service, recorded, nowMs)
      if (turnMs <= 0) this.#write(service, listServiceVersions(clusterView, service, nowMs).filter(version => !expired.includes(version)))
      else nextCheckMs = Math.min(nextCheckMs, turnMs)
    }
    this.#timer?.cancel()
    this.#timer = clock.setTimer(() => this.check(), nextCheckMs)
  }

  /** Whether no endpoint has had the version for long enough, counted from this host's start at the earliest. */
  #hasExpired (service: string, version: string, nowMs: number): boolean {
    const key = `${service} ${version}`
    const presentAtMs = this.#presentAtMs.get(key)
    if (presentAtMs === undefined) this.#presentAtMs.set(key, nowMs)
    return presentAtMs !== undefined && nowMs - presentAtMs > streamTtlMs
  }

  /** Milliseconds until this host writes an outdated row; 0 or less if it does so now. */
  #computeTurnMs (service: string, recorded: readonly string[], nowMs: number): number {
    const { clusterView, own } = this.#options
    // What a copy of the store tells is confirmed once endpoints of versions that it lacks have shown.
    const waitMs = clusterView.isUncertainRow(clusterView.serviceVersions.get(service)?.row) ? entryReturnMs : versionNoticeMs
    const sinceMs = this.#outdatedSinceMs.get(service) ?? nowMs
    this.#outdatedSinceMs.set(service, sinceMs)
    const ranked = [...clusterView.hosts.keys()].map(host => ({ host, hash: computeHash(`versions ${service} ${host}`) })).sort((left, right) => right.hash - left.hash)
    const rank = ranked.findIndex(({ host }) => host === own.host)
    // Without enough endpoints of recorded versions, the others are needed now.
    const mayWait = recorded.length > 0 && hasEnoughRecorded(clusterView.endpoints.listUsable(service, nowMs), recorded)
    // All hosts may have ended before this one's start; while there was one version they recorded no streams.
    const earliestMs = mayWait ? Math.max(sinceMs + waitMs, this.#startedAtMs + computeTakeUpMs(clusterView, service)) : sinceMs
    return rank < 0 ? Infinity : earliestMs + rank * writeStaggerMs - nowMs
  }

  async #write (service: string, versions: readonly string[]): Promise<void> {
    if (this.#writing.has(service)) return
    this.#writing.add(service)
    const { clusterView, log, transact, applyRow } = this.#options
    const key = formatServiceVersionsKey(service)
    const value = encodeHostsRow({ service, versions: [...versions], ...clusterView.writtenInEra })
    const outcome = await transact({ checks: [{ table: hostsTable, key, version: clusterView.serviceVersions.get(service)?.version ?? 0 }], writes: [{ table: hostsTable, key, value }], removals: [] })
    if (outcome.verdict === 'applied') applyRow({ table: hostsTable, key, version: outcome.version, value })
    // Another host has written the row; the next check writes what it still lacks.
    if (outcome.verdict === 'conflict') for (const row of outcome.rows) applyRow(row)
    log.record('versions.written', 'Tried to write the software versions of a service.', { service, versions: [...versions], verdict: outcome.verdict })
    this.#writing.delete(service)
  }
}
