/** What hosts and granters may do within the quota of a client account; `docs/design/account-quotas.md` derives the parts. */
import type { QuotaBounds } from '../../schemas/hostSettings.js'
import type { AccountQuota } from '../../schemas/routing.js'

export interface QuotaTerms {
  readonly perSecond: number
  /** Capacity of a granter's bucket. */
  readonly capacity: number
  /** A request may take a full bucket this far below zero. */
  readonly maxDebt: number
  /** Capacity of the local allowances of all hosts together, which is also what they are refilled by in each window. */
  readonly localCapacity: number
  readonly windowMs: number
  /** Leased tokens of all hosts that may be unspent at a time. */
  readonly maxOutstanding: number
  /** What may be granted in a window. */
  readonly windowLimit: number
  /** How far below zero a bucket may be taken within the window's limit, by a granter that knows all that was granted in the window. */
  readonly maxOverdraft: number
}

/**
 * Parts of the slack. In one window local allowances give twice their capacity, 0.25 of the slack. The leases of a granter that
 * lost its deputy and those of the deputy are outstanding together, 1.5 times `outstanding` or 0.5 of the slack. Larger buckets
 * and debt take 0.1 of it; 0.15 is left for a number of hosts that is higher than the one known.
 */
const slackParts = Object.freeze({ local: 0.125, outstanding: 1 / 3, capacity: 0.05, debt: 0.05 })

/**
 * Time over which the rate makes up for an overdraft. No host grants for as long after a granter has lost its role or its data, so that
 * the next one, which knows nothing of the overdraft, does not exceed the window's limit.
 */
const overdraftMs = 1200

/**
 * Computes the terms of a quota.
 *
 * @example
 * computeQuotaTerms({ unit: 'requests', perSecond: 5, burst: 5, plainTokens: 0 }, bounds).capacity // 5 or more
 */
export function computeQuotaTerms ({ perSecond, burst }: AccountQuota, { windowMs, overrunRatio, tolerance }: QuotaBounds): QuotaTerms {
  const slack = overrunRatio * (perSecond * windowMs / 1000 + burst) + tolerance
  return {
    perSecond,
    capacity: Math.max(burst, slackParts.capacity * slack),
    maxDebt: slackParts.debt * slack,
    localCapacity: slackParts.local * slack,
    windowMs,
    maxOutstanding: slackParts.outstanding * slack,
    windowLimit: perSecond * windowMs / 1000 + burst,
    maxOverdraft: perSecond * overdraftMs / 1000
  }
}

export interface RequestTokens {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly hasTokenCounts: boolean
}

/**
 * Computes what a request costs. Counts that are negative or not finite are taken for missing, so that no caller adds to its quota.
 *
 * @example
 * computeRequestCost(quota, { promptTokens: 490, maxTokens: 200, hasTokenCounts: true }) // 690
 */
export function computeRequestCost ({ unit, plainTokens }: AccountQuota, { promptTokens, maxTokens, hasTokenCounts }: RequestTokens): number {
  if (unit === 'requests') return 1
  const isValid = hasTokenCounts && Number.isFinite(promptTokens + maxTokens) && promptTokens >= 0 && maxTokens >= 0
  return isValid ? promptTokens + maxTokens : plainTokens
}
