/** Finds the software version that began a stream which its caller takes up, whichever host had begun it. */
import { BegunStreams } from '../../core/begunStreams.js'
import type { ClusterView } from '../../core/clusterView.js'
import { entryReturnMs, listServiceVersions } from '../../core/serviceVersions.js'
import { computeStreamKey } from '../../core/streamKey.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreRow } from '../../ports/store.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import { decodeHostsRow, formatServiceVersionsKey, hostsTable } from '../../schemas/hostRows.js'
import type { EndpointEntry, Route } from '../../schemas/routing.js'
import { decodeStreamOrigin, streamsTable } from '../../schemas/streamRows.js'
import type { StreamOrigin, StreamRecord } from '../../schemas/streamRows.js'

export interface StreamOriginsOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  store: { readRow: (table: string, key: string, timeoutMs: number) => Promise<StoreRow | undefined> }
  isStoreUnavailable: () => boolean
  /** Finds the software versions of a service that other hosts know; undefined if most of them do not reply. */
  findPeerVersions: (service: string) => Promise<string[] | undefined>
  /** Writes where streams were begun to the store. */
  saveRecords: (records: readonly StreamRecord[]) => void
  /** For this long the entry of an endpoint may tell the software version of its former process. */
  entryDelayMs: number
}

export type StreamResolution =
  | { readonly kind: 'version', readonly origin: StreamOrigin }
  | { readonly kind: 'unknown', readonly reason: string, readonly retryAfterMs: number | undefined }

/** The store responds in 4 ms, or in 200 ms when it is slow; a caller that waits for longer had better begin anew. */
const readTimeoutMs = 400
/** Without a response in this time, other hosts are asked. */
const confirmTimeoutMs = 150
/** A host that runs writes the record of a stream within this time. */
const recordDelayMs = 200
/** When a caller may try again whose stream could not be looked up. */
const retryAfterMs = 500
/** More than the published deployments have. */
const maxEndpoints = 1024
/** Look-ups in progress; callers may name any number of streams. */
const maxLookups = 64

export class StreamOrigins {
  #options: StreamOriginsOptions
  #begun = new BegunStreams()
  /** Services of more than one software version, as of the last change. */
  #mixedServices = new Set<string>()
  #lookupCount = 0
  /** Software version in the latest entry of each endpoint, by id. */
  #endpointVersions = new Map<string, string>()
  /** When this host first received the entry of an endpoint. */
  #firstEntryAtMs: number | undefined

  constructor (options: StreamOriginsOptions) {
    this.#options = options
  }

  /** Records that an endpoint has written the first event of the answer to a request. */
  recordBegun (request: CallerRequest, route: Route, { id, service, softwareVersion: version }: EndpointEntry): void {
    if (request.requestId === undefined) return
    const key = computeStreamKey(request.requestId, request, route)
    this.#begun.record(key, { service, version }, id, this.#options.clock.readMonotonic())
    if (this.#mixedServices.has(service)) this.#options.saveRecords([{ key, service, version }])
  }

  /** Called when an endpoint or the versions of a service have changed: records are saved from the second version on. */
  receiveServiceChange (service: string): void {
    if (!this.#isMixed(service)) this.#mixedServices.delete(service)
    else if (!this.#mixedServices.has(service)) {
      this.#mixedServices.add(service)
      this.#saveService(service)
    }
  }

  #saveService (service: string): void {
    const records = this.#begun.listService(service, this.#options.clock.readMonotonic())
    if (records.length > 0) this.#options.saveRecords(records)
  }

  /** Saves the records of the streams of this host again, as the store was restored from a copy that may lack them. */
  beginEra (): void {
    for (const service of this.#mixedServices) this.#saveService(service)
  }

  /** Records that the answer to a request was relayed to its end, so that its stream is hardly taken up. */
  recordEnded (request: CallerRequest, route: Route): void {
    if (request.requestId !== undefined) this.#begun.recordEnded(computeStreamKey(request.requestId, request, route), this.#options.clock.readMonotonic())
  }

  /** Called when an endpoint's entry has changed. */
  receiveEntry ({ id, service, softwareVersion }: EndpointEntry): void {
    this.#firstEntryAtMs ??= this.#options.clock.readMonotonic()
    const previous = this.#endpointVersions.get(id)
    this.#endpointVersions.delete(id)
    this.#endpointVersions.set(id, softwareVersion)
    if (this.#endpointVersions.size > maxEndpoints) this.#endpointVersions.delete(this.#endpointVersions.keys().next().value!)
    if (previous !== undefined && previous !== softwareVersion) this.#forgetRecent(id)
    this.receiveServiceChange(service)
  }

  /** After a restart at another version: streams that the endpoint began shortly before may be of either process. */
  #forgetRecent (endpointId: string): void {
    const { clock, entryDelayMs, log, saveRecords } = this.#options
    const keys = this.#begun.removeSince(endpointId, clock.readMonotonic() - entryDelayMs)
    if (keys.length === 0) return
    log.record('stream.originUncertain', 'An endpoint restarted at another software version; streams that it began shortly before cannot be taken up.', { endpointId, streams: keys.length })
    saveRecords(keys.map(key => ({ key, service: '', version: '' })))
  }

  /** Whether requests may be sent to an endpoint: after an end of all hosts, its version can be told from those of others. */
  isRecordedVersion ({ service, softwareVersion }: EndpointEntry): boolean {
    return this.#options.clusterView.serviceVersions.get(service)?.row.versions.includes(softwareVersion) ?? false
  }

  /** Whether a service of more than one software version is known. */
  get hasMixedService (): boolean {
    return this.#mixedServices.size > 0
  }

  /** Finds the version that began the stream which a request takes up; `service` is the one that goes on with it if each has one version. */
  async resolve (request: CallerRequest, route: Route, service: string): Promise<StreamResolution> {
    const services = route.targets.map(({ service }) => service)
    const key = request.resumedRequestId === undefined ? undefined : computeStreamKey(request.resumedRequestId, request, route)
    const own = key === undefined ? undefined : this.#begun.find(key, this.#options.clock.readMonotonic())
    if (own) return this.#createResolution(own, services)
    if (this.#lookupCount >= maxLookups) return createUnknown('too many streams are being looked up', retryAfterMs)
    this.#lookupCount++
    try {
      const versions = await Promise.all(services.map(async name => await this.#findVersions(name)))
      if (versions.some(found => found !== undefined && found.length > 1)) {
        return key === undefined ? createUnknown('it does not name the request that brought its first event', undefined) : await this.#lookUp(key, services)
      }
      const [version] = versions[services.indexOf(service)] ?? []
      // While every service has had one version, any of its endpoints can go on.
      return version !== undefined && !versions.includes(undefined)
        ? { kind: 'version', origin: { service, version } }
        : createUnknown('this host does not know which software versions its service has', retryAfterMs)
    } finally {
      this.#lookupCount--
    }
  }

  /**
   * Lists the versions that this host knows of a service for another one that asks; undefined if it has started lately and may know
   * only what a copy tells that the store was restored from.
   */
  listKnownVersions (service: string): string[] | undefined {
    const { clock, clusterView } = this.#options
    const row = clusterView.serviceVersions.get(service)?.row
    return this.#hasStartedLately() && (!row || clusterView.isOfEarlierEra(row)) ? undefined : listServiceVersions(clusterView, service, clock.readMonotonic())
  }

  /** Whether endpoints whose entries the store has lost may not have shown since this host started. */
  #hasStartedLately (): boolean {
    return this.#firstEntryAtMs === undefined || this.#options.clock.readMonotonic() - this.#firstEntryAtMs < entryReturnMs
  }

  #isMixed (service: string): boolean {
    const { clock, clusterView } = this.#options
    return listServiceVersions(clusterView, service, clock.readMonotonic()).length > 1
  }

  /**
   * Finds the versions that a service's streams may have been begun at: those that this host knows, and unless these are several also
   * those that the store tells or, if it does not respond, other hosts. Undefined if neither can be asked: this host may have missed one.
   */
  async #findVersions (service: string): Promise<string[] | undefined> {
    const { clock, clusterView, findPeerVersions } = this.#options
    if (this.#isMixed(service)) return listServiceVersions(clusterView, service, clock.readMonotonic())
    const confirmed = await this.#readVersions(service) ?? await findPeerVersions(service)
    // Without other hosts to ask, this host may be the one that knows the copy alone.
    if (confirmed?.length === 0 && this.listKnownVersions(service) === undefined) return undefined
    return confirmed && [...new Set([...confirmed, ...listServiceVersions(clusterView, service, clock.readMonotonic())])]
  }

  /** Reads the versions of a service from the store; undefined if it does not respond in time. */
  async #readVersions (service: string): Promise<string[] | undefined> {
    const { clusterView, isStoreUnavailable, log, store } = this.#options
    if (isStoreUnavailable()) return undefined
    try {
      const row = await store.readRow(hostsTable, formatServiceVersionsKey(service), confirmTimeoutMs)
      const decoded = row?.value && decodeHostsRow(row.key, row.value)
      if (decoded?.kind !== 'versions') return []
      if (!this.#hasStartedLately() || !clusterView.isOfEarlierEra(decoded.row)) return [...decoded.row.versions]
      log.record('stream.versionsOfCopy', 'The store tells the software versions of a service as of the copy that it was restored from; other hosts are asked.', { service, versions: [...decoded.row.versions] })
      return undefined
    } catch (error) {
      log.record('stream.versionsUnconfirmed', 'Could not read the software versions of a service from the store; other hosts are asked.', { service, error: (error as Error).message })
      return undefined
    }
  }

  async #lookUp (key: string, services: readonly string[]): Promise<StreamResolution> {
    const { clock, log, store } = this.#options
    try {
      let row = await store.readRow(streamsTable, key, readTimeoutMs)
      let onlyOrigin: StreamOrigin | undefined
      if (!row) {
        await new Promise<void>(resolve => { clock.setTimer(resolve, recordDelayMs) })
        onlyOrigin = await this.#findOnlyOrigin(services)
        row = await store.readRow(streamsTable, key, readTimeoutMs)
      }
      const origin = row?.value ? decodeStreamOrigin(row.value) : onlyOrigin
      return origin ? this.#createResolution(origin, services) : createUnknown('no record tells which software version began it', undefined)
    } catch (error) {
      log.record('stream.lookUpFailed', 'Could not read from the store which software version began a stream.', { error: (error as Error).message })
      return createUnknown('the record of its software version could not be read', retryAfterMs)
    }
  }

  /** Where all streams without a record were begun: while a service has one recorded version, no other one gets requests. */
  async #findOnlyOrigin (services: readonly string[]): Promise<StreamOrigin | undefined> {
    const [service, ...others] = services
    if (service === undefined || others.length > 0) return undefined
    const row = await this.#options.store.readRow(hostsTable, formatServiceVersionsKey(service), readTimeoutMs)
    const decoded = row?.value && decodeHostsRow(row.key, row.value)
    const versions = decoded?.kind === 'versions' && !this.#options.clusterView.isUncertainRow(decoded.row) ? decoded.row.versions : []
    return versions.length === 1 ? { service, version: versions[0]! } : undefined
  }

  #createResolution (origin: StreamOrigin, services: readonly string[]): StreamResolution {
    return services.includes(origin.service) ? { kind: 'version', origin } : createUnknown('it is not known where it was begun, or its route has moved', undefined)
  }
}

function createUnknown (reason: string, retryAfter: number | undefined): StreamResolution {
  return { kind: 'unknown', reason: `the stream cannot be resumed and has to begin anew: ${reason}`, retryAfterMs: retryAfter }
}
