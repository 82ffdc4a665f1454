/** Claims endpoints that nobody owns, frees those of hosts that are gone, and hands over what this host has too much of. */
import { computeClaimDelayMs, isVacant } from '../../core/orderLease.js'
import type { RenewalWatch } from '../../core/orderLease.js'
import { findSurplus, findTakerRanks } from '../../core/ownershipSpread.js'
import type { HashPair, SpreadEndpoint, SpreadHost } from '../../core/ownershipSpread.js'
import type { NewsBoard } from '../../core/newsBoard.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { encodeHostsRow, formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow, OwnerRow } from '../../schemas/hostRows.js'

export interface EndpointClaimsOptions {
  clock: Clock
  log: EventLog
  board: NewsBoard
  own: { host: string, address: string, zone: string, session: string }
  /** Time in which orders of two hosts may not follow each other in turn, in milliseconds. */
  leaseMs: number
  renewals: RenewalWatch
  /** Whether this host reads the store itself, so that another host's silence means something. */
  readsStore: () => boolean
  hashPair: HashPair
  /** Asks a host directly whether the life of its process that wrote a row still runs. */
  isRunning: (row: HostRow) => Promise<boolean>
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Version of a host's renewal, as last read. */
  findRenewalVersion: (host: string) => number | undefined
  /** Version of this host's own renewal in the store. */
  readOwnRenewalVersion: () => number
  findOwnFencing: (endpointId: string) => number | undefined
  /** Takes a row of the store ahead of the news. */
  applyRow: (row: StoreRow) => void
  gain: (endpointId: string, fencing: number, wasOwn: boolean) => void
  lose: (endpointId: string, reason: string) => void
  /** Asks for another step as soon as possible. */
  wake: () => void
}

interface VacantEndpoint {
  endpointId: string
  /** Version of the owner's row; 0 where there is none. */
  version: number
  wasOwn: boolean
}

/** Time between two endpoints that are handed over for an even spread; each serves nothing new for half a second. */
const handoverIntervalMs = 10_000

/** A host that has just registered leaves endpoints that were never its own to others that start beside it, which would be unknown to it. */
const newcomerMs = 400
/** Former owners that a row names; more do not follow each other within the time of a lease. */
const maxFormerHosts = 4

/**
 * Endpoints whose rows one transaction checks and writes: two entries each, beside the rows of the host, where the store
 * takes 100.
 */
export const maxEndpointsAtOnce = 45

/** Beyond the time of a lease, for orders that arrive late. */
const turnMarginMs = 300

export class EndpointClaims {
  #options: EndpointClaimsOptions
  #vacantSince = new Map<string, number>()
  /** When this host last owned an endpoint that it has lost. */
  #lostAt = new Map<string, number>()
  #gainedAt = new Map<string, number>()
  #isBusy = false
  #hasVacancies = true
  /** After a conflict endpoints are claimed one by one, so that one that is lost does not keep the others back. */
  #isCautious = false
  #lastHandoverMs: number
  #registeredAtMs: number | undefined

  constructor (options: EndpointClaimsOptions) {
    this.#options = options
    this.#lastHandoverMs = options.clock.readMonotonic()
  }

  recordGained (endpointId: string): void {
    this.#gainedAt.set(endpointId, this.#options.clock.readMonotonic())
  }

  recordLost (endpointId: string): void {
    this.#gainedAt.delete(endpointId)
    this.#lostAt.set(endpointId, this.#options.clock.readMonotonic())
  }

  /** Whether any endpoint is without an owner, so that claims may soon be due. */
  get hasVacancies (): boolean {
    return this.#hasVacancies
  }

  /** Does what is due, one transaction at a time. */
  step (nowMs: number): void {
    if (this.#isBusy) return
    this.#registeredAtMs ??= nowMs
    const endpoints = this.#listEndpoints(nowMs)
    const vacant = this.#listVacant(endpoints)
    this.#hasVacancies = vacant.length > 0
    const claims = this.#listDueClaims(endpoints, vacant, nowMs)
    if (claims.length > 0) this.#run(async () => await this.#claimAll(claims.slice(0, this.#isCautious ? 1 : maxEndpointsAtOnce)))
    else this.#expireHosts(nowMs) ?? this.#handOver(endpoints, nowMs)
  }

  /** Frees up to `maxEndpointsAtOnce` endpoints in one transaction; returns what it writes and checks. */
  createRelease (owned: Iterable<[string, number]>): Pick<StoreTransaction, 'checks' | 'writes'> {
    const list = [...owned]
    return {
      checks: list.map(([endpointId, fencing]) => ({ table: hostsTable, key: formatOwnerKey(endpointId), version: fencing })),
      writes: list.map(([endpointId]) => createOwnerWrite(endpointId, { ...noOwner, formerHosts: this.#listFormerHosts(endpointId) }))
    }
  }

  /** Who owned an endpoint, the present owner first. */
  #listFormerHosts (endpointId: string): string[] {
    const row = this.#options.board.owners.get(endpointId)?.row
    const names = [...(isVacant(row) ? [] : [row!.host]), ...row?.formerHosts ?? []]
    return names.filter((name, index) => names.indexOf(name) === index).slice(0, maxFormerHosts)
  }

  /** Runs one transaction; what follows from one that went through is done at once. */
  #run (work: () => Promise<StoreOutcome | undefined>): true {
    this.#isBusy = true
    work().then(outcome => {
      this.#isBusy = false
      if (outcome?.verdict === 'applied') this.#options.wake()
    })
    return true
  }

  /** Endpoints that nobody owns, or that were this host's own before a restart or before a release that the store did not take. */
  #listVacant (endpoints: readonly SpreadEndpoint[]): VacantEndpoint[] {
    const { board, own, findOwnFencing } = this.#options
    const vacant: VacantEndpoint[] = []
    for (const { endpointId, ownerId } of endpoints) {
      const owner = board.owners.get(endpointId)
      const wasOwn = ownerId === own.host && (owner?.row.session !== own.session || findOwnFencing(endpointId) === undefined)
      if (ownerId === undefined || wasOwn) vacant.push({ endpointId, version: owner?.fencing ?? 0, wasOwn })
    }
    return vacant
  }

  #listDueClaims (endpoints: readonly SpreadEndpoint[], vacant: readonly VacantEndpoint[], nowMs: number): VacantEndpoint[] {
    const isNewcomer = nowMs - this.#registeredAtMs! < newcomerMs
    const claimable = vacant.filter(({ endpointId, wasOwn }) => wasOwn || !(isNewcomer || this.#wasLostLately(endpointId, nowMs)))
    const vacantIds = new Set(vacant.map(({ endpointId }) => endpointId))
    for (const endpointId of [...this.#vacantSince.keys()]) if (!vacantIds.has(endpointId)) this.#vacantSince.delete(endpointId)
    for (const { endpointId } of claimable) if (!this.#vacantSince.has(endpointId)) this.#vacantSince.set(endpointId, nowMs)
    if (claimable.length === 0) return []
    // Hosts are ranked only while there is something to claim; with many hosts that takes longer than all else here.
    const ranks = claimable.every(({ wasOwn }) => wasOwn) ? undefined : findTakerRanks(this.#options.own.host, endpoints, this.#listTakers(nowMs), this.#options.hashPair)
    return claimable.filter(({ endpointId, wasOwn }) => {
      const rank = wasOwn ? 0 : ranks?.get(endpointId)
      return rank !== undefined && nowMs - this.#vacantSince.get(endpointId)! >= computeClaimDelayMs(rank)
    })
  }

  /** Another host may have given the endpoint orders since; orders of the two would follow each other in turn. */
  #wasLostLately (endpointId: string, nowMs: number): boolean {
    if (this.#hasStartedLately(nowMs) && this.#listFormerHosts(endpointId).indexOf(this.#options.own.host) > 0) return true
    const lostAtMs = this.#lostAt.get(endpointId)
    if (lostAtMs === undefined) return false
    if (nowMs - lostAtMs < this.#options.leaseMs + turnMarginMs) return true
    this.#lostAt.delete(endpointId)
    return false
  }

  /** Whether a life of this host before the present one may have given orders within the time of a lease. */
  #hasStartedLately (nowMs: number): boolean {
    return nowMs - this.#registeredAtMs! < this.#options.leaseMs + turnMarginMs
  }

  async #claimAll (claims: VacantEndpoint[]): Promise<StoreOutcome> {
    const { own, log, transact, applyRow, gain, readOwnRenewalVersion } = this.#options
    const writes = claims.map(({ endpointId }) => createOwnerWrite(endpointId, { ...own, formerHosts: this.#listFormerHosts(endpointId).filter(name => name !== own.host) }))
    const outcome = await transact({
      checks: [
        ...claims.map(({ endpointId, version }) => ({ table: hostsTable, key: formatOwnerKey(endpointId), version })),
        { table: renewalsTable, key: own.host, version: readOwnRenewalVersion() }
      ],
      writes,
      removals: []
    })
    this.#isCautious = outcome.verdict === 'conflict'
    log.record('lease.claimed', 'Asked the store for the ownership of endpoints that have no owner.', {
      endpointIds: claims.map(({ endpointId }) => endpointId), versions: claims.map(({ version }) => version), verdict: outcome.verdict
    })
    for (const { endpointId } of claims) this.#vacantSince.delete(endpointId)
    // A claim whose answer was lost shows in the news. A conflict tells at once who has won.
    if (outcome.verdict === 'conflict') for (const row of outcome.rows) if (row.table === hostsTable) applyRow(row)
    if (outcome.verdict !== 'applied') return outcome
    // Nobody's orders can be on their way to an endpoint that was never owned.
    for (const { endpointId, version, wasOwn } of claims) gain(endpointId, outcome.version, wasOwn || version === 0)
    for (const write of writes) applyRow({ ...write, version: outcome.version })
    return outcome
  }

  #listEndpoints (nowMs: number): SpreadEndpoint[] {
    const { board } = this.#options
    const services = board.routes?.configuration.services
    return board.endpoints.list(nowMs)
      .filter(entry => services?.get(entry.service)?.engine)
      .map(entry => {
        const row = board.owners.get(entry.id)?.row
        return { endpointId: entry.id, zone: entry.zone, ownerId: isVacant(row) ? undefined : row!.host }
      })
  }

  /** Hosts that are believed to live: those that renewed lately, and those that own nothing and need not. */
  #listTakers (nowMs: number): SpreadHost[] {
    const { board, own, renewals } = this.#options
    const expired = new Set(renewals.listExpired(nowMs))
    const owners = new Set([...board.owners.values()].map(owner => owner.row.host))
    return [...board.hosts.values()]
      .filter(({ row }) => !row.isLeaving && (row.host === own.host || !owners.has(row.host) || !expired.has(row.host)))
      .map(({ row }) => ({ hostId: row.host, zone: row.zone }))
  }

  /** Declares a host gone whose row has stood still although it owns endpoints, and frees them. */
  #expireHosts (nowMs: number): true | undefined {
    const { board, own, renewals, findRenewalVersion, readsStore } = this.#options
    if (!readsStore()) return undefined
    for (const name of renewals.listExpired(nowMs)) {
      const host = board.hosts.get(name)
      const renewalVersion = findRenewalVersion(name)
      const owned = [...board.owners].filter(([, owner]) => owner.row.host === name).map(([id, { fencing }]): [string, number] => [id, fencing])
      if (!host || renewalVersion === undefined || owned.length === 0 || name === own.host) continue
      return this.#run(async () => await this.#expireHost(host.row, renewalVersion, owned))
    }
    return undefined
  }

  async #expireHost (row: HostRow, renewalVersion: number, owned: [string, number][]): Promise<StoreOutcome | undefined> {
    const { log, isRunning, transact, applyRow } = this.#options
    if (await isRunning(row)) return undefined
    // The host's own rows go with its last endpoints.
    const freed = owned.slice(0, maxEndpointsAtOnce)
    const release = this.createRelease(freed)
    const outcome = await transact({
      checks: [{ table: renewalsTable, key: row.host, version: renewalVersion }, ...release.checks],
      writes: release.writes,
      removals: freed.length < owned.length ? [] : [{ table: hostsTable, key: formatHostKey(row.host) }, { table: renewalsTable, key: row.host }]
    })
    log.record('lease.expired', 'A host did not renew its row and does not answer; its endpoints are free.', { lostHost: row.host, endpointIds: freed.map(([id]) => id), verdict: outcome.verdict })
    if (outcome.verdict === 'applied') for (const write of release.writes) applyRow({ ...write, version: outcome.version })
    if (outcome.verdict === 'conflict') for (const current of outcome.rows) if (current.table === hostsTable) applyRow(current)
    return outcome
  }

  /** Frees one endpoint where this host owns more than its share, so that a host that has come can take it. */
  #handOver (endpoints: readonly SpreadEndpoint[], nowMs: number): void {
    const { own, findOwnFencing, hashPair } = this.#options
    if (nowMs - this.#lastHandoverMs < handoverIntervalMs || !endpoints.some(({ ownerId }) => ownerId === own.host)) return
    const endpointId = findSurplus(own.host, endpoints, this.#listTakers(nowMs), hashPair)
    const fencing = endpointId === undefined ? undefined : findOwnFencing(endpointId)
    if (endpointId === undefined || fencing === undefined || this.#wasGainedLately(endpointId, nowMs)) return
    this.#lastHandoverMs = nowMs
    this.#run(async () => await this.#handOverEndpoint(endpointId, fencing))
  }

  /** The host that would take it over may be the one that it came from. */
  #wasGainedLately (endpointId: string, nowMs: number): boolean {
    return nowMs - (this.#gainedAt.get(endpointId) ?? -Infinity) < this.#options.leaseMs + turnMarginMs
  }

  async #handOverEndpoint (endpointId: string, fencing: number): Promise<StoreOutcome> {
    const { log, lose, transact, applyRow } = this.#options
    lose(endpointId, 'another host has fewer endpoints')
    const release = this.createRelease([[endpointId, fencing]])
    const outcome = await transact({ ...release, removals: [] })
    if (outcome.verdict === 'applied') for (const write of release.writes) applyRow({ ...write, version: outcome.version })
    log.record('lease.handedOver', 'Gave an endpoint up for an even spread.', { endpointId, verdict: outcome.verdict })
    return outcome
  }
}

/** What an owner's row says where nobody owns the endpoint. */
export const noOwner: Omit<OwnerRow, 'endpointId'> = Object.freeze({ host: '', address: '', session: '' })

export function createOwnerWrite (endpointId: string, { host, address, session, formerHosts }: Omit<OwnerRow, 'endpointId'>): { table: string, key: string, value: Uint8Array } {
  return { table: hostsTable, key: formatOwnerKey(endpointId), value: encodeHostsRow({ endpointId, host, address, session, ...(formerHosts && { formerHosts }) }) }
}
