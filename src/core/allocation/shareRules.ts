/**
 * Decides how an engine's owner treats requests of client accounts that are over their share of the engine: they are granted
 * after all others, and are the first to be declined or refused. Requests without an account are never over a share.
 */
import { AccountShares } from '../accountShares.js'
import type { AllocationRequest } from './allocationRequest.js'

/**
 * Requests of accounts over their share wait at the owner while the engine's prefill backlog exceeds this, so that what they put
 * into the engine's queue leaves a tenth of the tightest latency target to those that come after them.
 */
export const maxOverShareBacklogMs = 60

type ShareRequest = Pick<AllocationRequest, 'account' | 'isResumed'>

export class ShareRules {
  readonly shares: AccountShares

  constructor (getWeight?: (account: string) => number) {
    this.shares = new AccountShares(getWeight)
  }

  /** Records what a request asks for, unless it is declined: it then counts at the engine that has to decide about it. */
  recordArrival ({ account }: ShareRequest, prefillMs: number, nowMs: number): void {
    this.shares.recordDemand(account, prefillMs, nowMs)
  }

  recordGranted ({ account }: ShareRequest, prefillMs: number, nowMs: number): void {
    this.shares.record(account, prefillMs, nowMs)
  }

  /** Records the engine's prefill backlog; beyond the limit it delays requests of all accounts. */
  recordBacklog (backlogMs: number): void {
    this.shares.recordUnfinished(backlogMs - maxOverShareBacklogMs)
  }

  /** Whether a request comes after those of other accounts; resumed streams never do. */
  isOver ({ account, isResumed }: ShareRequest, nowMs: number): boolean {
    return !isResumed && this.shares.isOverShare(account, nowMs)
  }
}

/**
 * Computes how long a request of an account over its share has to wait until it may be granted: until the backlog, and the
 * prefill of the requests that are granted before it, are within the limit.
 *
 * @example
 * computeOverShareWaitMs(100, 40) // 80
 */
export function computeOverShareWaitMs (backlogMs: number, aheadMs: number): number {
  return Math.max(0, backlogMs + aheadMs - maxOverShareBacklogMs)
}
