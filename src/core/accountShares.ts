/**
 * Tracks the work that client accounts had done at an endpoint and wanted there, and determines which accounts are over their fair
 * share of it. Shares are max-min fair by weight: capacity that an account doesn't want is divided among the others.
 */

/** Time constant of the exponential decay of work; longer than a burst of arrivals, shorter than callers wait. */
const decayMs = 2000
/** The shares are computed again after this long, as that takes a pass over all accounts. */
const refreshIntervalMs = 10
/** An account is over its share beyond this ratio, as otherwise the largest one would be whenever a request waits briefly. */
const overRatio = 1.1
/** Accounts tracked at a time; those without requests for longest are dropped beyond it. */
export const maxTrackedAccounts = 1024

interface AccountWork {
  /** Decayed milliseconds of work that was granted, and that was asked for, up to `atMs`. */
  usedMs: number
  wantedMs: number
  atMs: number
}

interface Claim {
  weight: number
  wantedMs: number
}

export class AccountShares {
  #getWeight: (account: string) => number
  /** By account, the one recorded last at the end. */
  #work = new Map<string, AccountWork>()
  /** Work that is granted for each unit of weight, decayed up to `#refreshedAtMs`; infinite while all demand is met. */
  #levelMs = Infinity
  #refreshedAtMs = -Infinity
  /** Recorded work that the endpoint has not done yet, beyond what it may have ahead of others. */
  #unfinishedMs = 0

  constructor (getWeight: (account: string) => number = () => 1) {
    this.#getWeight = getWeight
  }

  get size (): number {
    return this.#work.size
  }

  /** Records work that the endpoint was given for an account; requests without an account are not counted. */
  record (account: string | undefined, workMs: number, nowMs: number): void {
    const work = this.#update(account, nowMs)
    if (work) work.usedMs += workMs
  }

  /**
   * Records work that an account asks for, called once for each request as it arrives, whether it is granted, waits or is
   * refused. Without it all demand counts as met, so that no account is over its share.
   */
  recordDemand (account: string | undefined, workMs: number, nowMs: number): void {
    const work = this.#update(account, nowMs)
    if (work) work.wantedMs += workMs
  }

  /**
   * Records how much of the work given to the endpoint delays others as it is not done yet. It counts as unmet demand, so that the
   * accounts with the largest use are over their shares before anything has to be refused.
   */
  recordUnfinished (workMs: number): void {
    this.#unfinishedMs = Math.max(0, workMs)
  }

  /**
   * Whether an account was given more than its share while others wanted more than they were given.
   *
   * @example
   * shares.recordDemand('small', 20, 0)
   * shares.recordDemand('large', 400, 0)
   * shares.record('large', 400, 0)
   * shares.isOverShare('large', 20) // true, until the 20 ms of 'small' are granted too
   */
  isOverShare (account: string | undefined, nowMs: number): boolean {
    if (account === undefined) return false
    const work = this.#work.get(account)
    if (!work || this.#work.size === 1) return false
    if (nowMs - this.#refreshedAtMs >= refreshIntervalMs) this.#refresh(nowMs)
    const levelMs = this.#levelMs * computeDecay(this.#refreshedAtMs, nowMs)
    return work.usedMs * computeDecay(work.atMs, nowMs) > overRatio * levelMs * this.#readWeight(account)
  }

  #readWeight (account: string): number {
    const weight = this.#getWeight(account)
    return weight > 0 ? weight : 1
  }

  #update (account: string | undefined, nowMs: number): AccountWork | undefined {
    if (account === undefined) return undefined
    const work = this.#work.get(account) ?? { usedMs: 0, wantedMs: 0, atMs: nowMs }
    const decay = computeDecay(work.atMs, nowMs)
    work.usedMs *= decay
    work.wantedMs *= decay
    work.atMs = Math.max(work.atMs, nowMs)
    // Deleting first keeps the map in order of the last record.
    this.#work.delete(account)
    this.#work.set(account, work)
    if (this.#work.size > maxTrackedAccounts) this.#work.delete(this.#work.keys().next().value!)
    return work
  }

  #refresh (nowMs: number): void {
    let usedMs = 0
    const claims: Claim[] = []
    for (const [account, work] of this.#work) {
      const decay = computeDecay(work.atMs, nowMs)
      usedMs += work.usedMs * decay
      claims.push({ weight: this.#readWeight(account), wantedMs: Math.max(work.usedMs, work.wantedMs) * decay })
    }
    this.#levelMs = computeLevel(claims, Math.max(0, usedMs - this.#unfinishedMs))
    this.#refreshedAtMs = nowMs
  }
}

function computeDecay (fromMs: number, toMs: number): number {
  return Math.exp(Math.min(0, fromMs - toMs) / decayMs)
}

/** Computes the work for each unit of weight at which the claims, each limited to it, add up to `capacityMs`. */
function computeLevel (claims: Claim[], capacityMs: number): number {
  claims.sort((left, right) => left.wantedMs / left.weight - right.wantedMs / right.weight)
  let weight = claims.reduce((sum, claim) => sum + claim.weight, 0)
  let unassignedMs = capacityMs
  for (const claim of claims) {
    if (claim.wantedMs * weight > unassignedMs * claim.weight * (1 + Number.EPSILON * claims.length)) return unassignedMs / weight
    unassignedMs -= claim.wantedMs
    weight -= claim.weight
  }
  return Infinity
}
