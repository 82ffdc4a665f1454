/**
 * Excludes that an owner goes on through an outage of the store while another host takes its endpoints over: both need hosts of one list,
 * the owner's witnesses, and a witness never supports both.
 */
import type { HostRow } from '../schemas/hostRows.js'
import { PairHasher } from './rendezvousHash.js'

/** A host that may confirm an outage of the store to the owner that lists it, and its process as the owner knows it. */
export interface LeaseWitness {
  readonly host: string
  /** Another process of the host does not know whether this one has confirmed that the lease has expired. */
  readonly session: string
}

/** A host's lease, up to and including one of its renewals. */
export interface HeldLease {
  readonly host: string
  /** The process incarnation that holds the lease. */
  readonly session: string
  /** Number of the last renewal that is known to be in the store. */
  readonly renewal: number
}

/** A host that does not reach the store reports an outage after this time: one renewal interval and a response time, in milliseconds. */
export const storeOutageMs = 1400
/** How long a witness's confirmation of an outage counts, in milliseconds of the owner's clock, from when the owner asked. */
export const confirmationTtlMs = 1200
/** A witness supports no takeover for this long after it confirmed an outage; the margin covers clocks that run at different rates. */
export const confirmationHoldMs = 1500
/**
 * An owner sends no orders later than this after its last renewal, however many witnesses confirm an outage. It bounds how long the
 * endpoints of hosts that were lost together with most of their witnesses stay without an owner.
 */
export const maxOutageMs = 30_000
/** An owner that has not renewed for this long is replaced without the support of its witnesses. */
export const unconditionalExpiryMs = maxOutageMs + 3000

/** Every host reads the rows of all others through relays; rows much larger than without a list fill the links of small hosts. */
const maxWitnesses = 12

/** A list is replaced at once when more than one in this many of its witnesses were lost, or as many more could be listed. */
const urgentChangeRatio = 8
/** Any other change waits until the list is this old: it is written by each owner, and read by all store readers. */
const maxListAgeMs = 30_000

const hasher = new PairHasher()

/**
 * Selects the witnesses of a host among the other hosts: those that rank highest for it by rendezvous hashing, so that a host that joins or
 * leaves changes few lists. Hosts that respond go first; the others are chosen only while none responds.
 *
 * @example
 * selectWitnesses('front-1', rows, host => host !== 'front-3') // [{ host: 'front-2', session: '5c1e' }]
 */
export function selectWitnesses (own: string, rows: readonly HostRow[], isResponding: (host: string) => boolean): LeaseWitness[] {
  // Hosts of earlier versions list no witnesses, and can't be one.
  const candidates = rows.filter(row => row.host !== own && !row.isLeaving && row.witnesses !== undefined)
  const responding = candidates.filter(row => isResponding(row.host))
  return (responding.length > 0 ? responding : candidates)
    .map(({ host, session }) => ({ host, session, hash: hasher.compute(own, host) }))
    .sort((left, right) => right.hash - left.hash)
    .slice(0, maxWitnesses)
    .map(({ host, session }) => ({ host, session }))
}

/**
 * Whether two lists name the same processes, in any order.
 *
 * @example
 * isSameList([{ host: 'front-2', session: '5c1e' }], [{ host: 'front-2', session: '07ab' }]) // false
 */
export function isSameList (left: readonly LeaseWitness[], right: readonly LeaseWitness[]): boolean {
  return serializeSorted(left.map(({ host, session }) => `${host} ${session}`)) === serializeSorted(right.map(({ host, session }) => `${host} ${session}`))
}

/**
 * Whether a list of hosts that was written `ageMs` ago should be replaced by the one that is selected now. `isUsable`: whether a listed host
 * still runs.
 *
 * @example
 * isListOutdated(listed, selected, host => host !== 'front-3', 2000) // false: one of 12 was lost two seconds after the list was written
 */
export function isListOutdated (listed: readonly string[], selected: readonly string[], isUsable: (host: string) => boolean, ageMs: number): boolean {
  if (serializeSorted(listed) === serializeSorted(selected)) return false
  const fullCount = Math.max(listed.length, selected.length)
  return ageMs >= maxListAgeMs || (fullCount - listed.filter(isUsable).length) * urgentChangeRatio > fullCount
}

function serializeSorted (values: readonly string[]): string {
  return [...values].sort().join()
}

/**
 * Whether an owner may go on through an outage: it and the witnesses that confirm the outage are a majority of all of them.
 *
 * @example
 * hasOutageMajority(2, 1) // true: two of three hosts
 */
export function hasOutageMajority (witnessCount: number, confirmationCount: number): boolean {
  return 2 * (confirmationCount + 1) > witnessCount + 1
}

/**
 * Whether other hosts may take an owner's endpoints over: so many of its witnesses support it that the others and the owner are no
 * majority.
 *
 * @example
 * hasExpiryMajority(2, 1) // false: the owner and the other witness may go on
 */
export function hasExpiryMajority (witnessCount: number, confirmationCount: number): boolean {
  return 2 * confirmationCount >= witnessCount + 1
}

/** Leases of which a process keeps what it told; more than the hosts that expire while it runs. */
const maxRecords = 4096

/** What this process has told owners and claimants as a witness. */
export class WitnessRecord {
  #startedAtMs: number
  /** When an outage was last confirmed to each process, by session. */
  #confirmedAtMs = new Map<string, number>()
  /** Highest renewal of each process up to which this host has confirmed that its lease has expired, by session. */
  #expiredRenewals = new Map<string, number>()

  constructor (nowMs: number) {
    this.#startedAtMs = nowMs
  }

  /** Confirms an outage to an owner, unless the store responds to this host or it has confirmed that the lease has expired. */
  confirmOutage ({ session, renewal }: HeldLease, storeAgeMs: number, nowMs: number): boolean {
    if (storeAgeMs <= storeOutageMs || (this.#expiredRenewals.get(session) ?? -1) >= renewal) return false
    recordLatest(this.#confirmedAtMs, session, nowMs)
    return true
  }

  /**
   * Confirms to another host that a lease has expired, unless the store does not respond to this host, or an outage that this host
   * confirmed to the owner may still count. A former process of this host may have done so too.
   */
  confirmExpiry ({ session, renewal }: HeldLease, storeAgeMs: number, nowMs: number): boolean {
    const confirmedAtMs = Math.max(this.#startedAtMs, this.#confirmedAtMs.get(session) ?? -Infinity)
    if (storeAgeMs > storeOutageMs || nowMs - confirmedAtMs < confirmationHoldMs) return false
    recordLatest(this.#expiredRenewals, session, Math.max(renewal, this.#expiredRenewals.get(session) ?? 0))
    return true
  }
}

/** Sets an entry as the latest one of a map, and removes the oldest beyond `maxRecords`. */
function recordLatest (records: Map<string, number>, key: string, value: number): void {
  records.delete(key)
  records.set(key, value)
  if (records.size > maxRecords) records.delete(records.keys().next().value!)
}
