/** Decides when a former owner can no longer send a request to an endpoint. */
import type { FormerOwner, HostRow, Predecessor } from '../schemas/ownershipRows.js'
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
    const process = findProcess(this.former, row)
    if (!process) return false
    if (process.counter !== this.#counter) {
      this.#counter = process.counter
      this.#silentSinceMs = nowMs
      this.#reachingSinceMs.clear()
    }
    const { witnesses } = process
    // A process that runs under the former owner's name now says nothing of what the former owner reaches.
    const isReplaced = process !== row
    for (const hostId of witnesses) {
      this.#recordWitness(hostId, isAdvancing(hostId) && !(isReplaced && hostId === this.former.hostId), nowMs)
    }
    const reaching = witnesses.filter(hostId => nowMs - (this.#reachingSinceMs.get(hostId) ?? nowMs) >= formerOwnerBoundMs)
    // An outage keeps an owner serving only where more than half of its witnesses report one.
    return witnesses.length > 0 && reaching.length * 2 >= witnesses.length
  }

  #recordWitness (hostId: string, isReaching: boolean, nowMs: number): void {
    if (!isReaching) this.#reachingSinceMs.delete(hostId)
    else if (!this.#reachingSinceMs.has(hostId)) this.#reachingSinceMs.set(hostId, nowMs)
  }
}

/** The former owner's own row, or what the next process under its name has kept of it. */
function findProcess ({ session }: FormerOwner, row: HostRow | undefined): Predecessor | undefined {
  return row?.session === session ? row : row?.predecessors?.find(predecessor => predecessor.session === session)
}

/** The row is removed by its own holder alone, and lists a lease until no request of it is left. */
function hasSteppedDown (former: FormerOwner, { row, endpointId }: FormerEvidence): boolean {
  if (!row) return true
  if (row.session !== former.session) return false
  return !row.held.some(lease => lease.endpointId === endpointId && lease.fencing === former.fencing)
}
