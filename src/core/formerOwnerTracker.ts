/** Decides when a former owner can no longer send a request to an endpoint. */
import type { FormerOwner, SchedulerRow, Predecessor } from '../schemas/ownershipRows.js'
import { formerOwnerTimeoutMs, maxFormerOwnerTimeoutMs } from './ownershipTimeouts.js'

/** What one read of the rows shows about a former owner. */
export interface FormerOwnerEvidence {
  endpointId: string
  /** The renewal row under the former owner's host name, as last read; undefined if there is none. */
  row: SchedulerRow | undefined
  /** Whether a host's renewal counter has changed within the last lease duration. */
  isRenewing: (hostId: string) => boolean
}

/** `steppedDown`: it gave up the lease itself; `gone`: it did not renew for the required time. */
export type FormerOwnerState = 'mayServe' | 'steppedDown' | 'gone'

/** Tracks one former owner of an endpoint from the takeover on. */
export class FormerOwnerTracker {
  readonly former: FormerOwner
  #unchangedSinceMs: number
  #counter: number | undefined
  /** By witness of the former owner: since when it has reached the table without interruption. */
  #reachableSinceMs = new Map<string, number>()
  #state: FormerOwnerState = 'mayServe'

  constructor (former: FormerOwner, nowMs: number) {
    this.former = former
    this.#unchangedSinceMs = nowMs
  }

  get state (): FormerOwnerState {
    return this.#state
  }

  /** Evaluates the result of one successful read of the rows; a state other than `mayServe` is final. */
  recordEvidence (evidence: FormerOwnerEvidence, nowMs: number): void {
    if (this.#state !== 'mayServe') return
    if (hasSteppedDown(this.former, evidence)) this.#state = 'steppedDown'
    else if (this.#isGone(evidence, nowMs)) this.#state = 'gone'
  }

  /** Records that the rows could not be read, so it is unknown whether the witnesses reached the table meanwhile. */
  recordFailedRead (): void {
    this.#reachableSinceMs.clear()
  }

  #isGone ({ row, isRenewing }: FormerOwnerEvidence, nowMs: number): boolean {
    if (nowMs - this.#unchangedSinceMs >= maxFormerOwnerTimeoutMs) return true
    const process = findProcessRow(this.former, row)
    if (!process) return false
    if (process.counter !== this.#counter) {
      this.#counter = process.counter
      this.#unchangedSinceMs = nowMs
      this.#reachableSinceMs.clear()
    }
    const { witnesses } = process
    // A newer process under the former owner's name does not show whether the former owner reaches the table.
    const isReplaced = process !== row
    for (const hostId of witnesses) {
      this.#recordWitness(hostId, isRenewing(hostId) && !(isReplaced && hostId === this.former.hostId), nowMs)
    }
    const reachableWitnesses = witnesses.filter(hostId => nowMs - (this.#reachableSinceMs.get(hostId) ?? nowMs) >= formerOwnerTimeoutMs)
    // An owner serves through an outage only if more than half of its witnesses report one.
    return witnesses.length > 0 && reachableWitnesses.length * 2 >= witnesses.length
  }

  #recordWitness (hostId: string, isReachable: boolean, nowMs: number): void {
    if (!isReachable) this.#reachableSinceMs.delete(hostId)
    else if (!this.#reachableSinceMs.has(hostId)) this.#reachableSinceMs.set(hostId, nowMs)
  }
}

/** Returns the former owner's own row, or the copy that a later process under the same name has kept of it. */
function findProcessRow ({ session }: FormerOwner, row: SchedulerRow | undefined): Predecessor | undefined {
  return row?.session === session ? row : row?.predecessors?.find(predecessor => predecessor.session === session)
}

/** Only its holder removes a row, and the row lists a lease until no request under it is left. */
function hasSteppedDown (former: FormerOwner, { row, endpointId }: FormerOwnerEvidence): boolean {
  if (!row) return true
  if (row.session !== former.session) return false
  return !row.held.some(lease => lease.endpointId === endpointId && lease.fencing === former.fencing)
}
