/** Decides when a former owner can no longer send a request to an endpoint. */
import type { FormerOwner, HostRow } from '../schemas/ownershipRows.js'
import { formerOwnerBoundMs, formerOwnerLimitMs } from './ownershipTimes.js'

export interface FormerEvidence {
  endpointId: string
  /** The former owner's renewal row as last read; undefined where there is none. */
  row: HostRow | undefined
  /** Whether a host's renewal counter has changed within the last term. */
  isAdvancing: (hostId: string) => boolean
}

/** `steppedDown`: it said so itself; `gone`: it was silent for the stated time. */
export type FormerState = 'mayServe' | 'steppedDown' | 'gone'

/** Follows one former owner of an endpoint from the takeover on. */
export class FormerOwnerWatch {
  readonly former: FormerOwner
  #silentSinceMs: number
  #counter: number | undefined
  /** Witnesses of the former owner, with the time from which on each has reached the table without a break. */
  #reachingSinceMs = new Map<string, number>()
  #state: FormerState = 'mayServe'

  constructor (former: FormerOwner, nowMs: number) {
    this.former = former
    this.#silentSinceMs = nowMs
  }

  get state (): FormerState {
    return this.#state
  }

  /** Takes what one successful read of the rows has shown; a state other than `mayServe` is final. */
  recordEvidence (evidence: FormerEvidence, nowMs: number): void {
    if (this.#state !== 'mayServe') return
    if (hasSteppedDown(this.former, evidence)) this.#state = 'steppedDown'
    else if (this.#isGone(evidence, nowMs)) this.#state = 'gone'
  }

  /** The rows could not be read: what the witnesses did meanwhile is unknown. */
  recordFailedRead (): void {
    this.#reachingSinceMs.clear()
  }

  #isGone ({ row, isAdvancing }: FormerEvidence, nowMs: number): boolean {
    if (nowMs - this.#silentSinceMs >= formerOwnerLimitMs) return true
    if (row?.session !== this.former.session) return false
    if (row.counter !== this.#counter) {
      this.#counter = row.counter
      this.#silentSinceMs = nowMs
      this.#reachingSinceMs.clear()
    }
    for (const hostId of row.witnesses) this.#recordWitness(hostId, isAdvancing(hostId), nowMs)
    const reaching = row.witnesses.filter(hostId => nowMs - (this.#reachingSinceMs.get(hostId) ?? nowMs) >= formerOwnerBoundMs)
    // An outage keeps an owner serving only where more than half of its witnesses report one.
    return row.witnesses.length > 0 && reaching.length * 2 >= row.witnesses.length
  }

  #recordWitness (hostId: string, isReaching: boolean, nowMs: number): void {
    if (!isReaching) this.#reachingSinceMs.delete(hostId)
    else if (!this.#reachingSinceMs.has(hostId)) this.#reachingSinceMs.set(hostId, nowMs)
  }
}

/** The row is removed by its own holder alone, and lists a lease until no request of it is left. */
function hasSteppedDown (former: FormerOwner, { row, endpointId }: FormerEvidence): boolean {
  if (!row) return true
  if (row.session !== former.session) return false
  return !row.held.some(lease => lease.endpointId === endpointId && lease.fencing === former.fencing)
}
