/** Decides whether an engine's owner declines a request, so that its proxy tries another engine. */
import type { EngineLoad } from '../../schemas/datagram.js'
import { isNearCapacity } from '../endpointSelection.js'
import type { AllocationRequest } from './allocationRequest.js'

/** What the owner knows of its engine with regard to a request. */
export interface DeclineFacts {
  readonly load: EngineLoad
  /** Whether the request's adapter is loaded, loading or unloading, or it needs none. */
  readonly isPresent: boolean
  /** Fraction of the engine's recent time that went into prefill for the adapter; 1 for the base model. */
  readonly prefillShare: number
  /** Expected time of a load of the adapter, and of one from the weight store. */
  readonly loadMs: number
  readonly coldLoadMs: number
  /** Loads that could start now in addition to those that wait. */
  readonly availableLoads: number
  /** Time until the engine would start the request, and that of its prefill. */
  readonly startMs: number
  readonly prefillMs: number
  /** Prefill backlog above which it would wait for too long behind long prompts; infinite if there are none. */
  readonly maxBacklogMs: number
  /** Time until the request may be granted if its account is over its share of the engine; otherwise 0. */
  readonly overShareWaitMs: number
  /** While the engine is limited: time until the request's turn, and time since a request was last granted. */
  readonly limit: { readonly waitMs: number, readonly idleMs: number } | undefined
}

/** An adapter with a larger share of an engine's time than this is worth a replica on another engine. */
const hotPrefillShare = 0.12
/**
 * A request for a rare adapter is declined above this prefill backlog, a quarter of the tightest latency target, unless only this
 * engine has the adapter. The same holds for the wait at a limited engine.
 */
const maxRareBacklogMs = 150
/**
 * An adapter that loads in less time than this is worth waiting for a slot here, as another engine would have to load it from
 * the weight store.
 */
const fastLoadMs = 100
/** A late request is declined if it would wait for more than this fraction of the time in which a start is still useful. */
const lateDeclineRatio = 0.3
/** A limited engine that was sent nothing for this long loads an adapter, as only a response can end its limit. */
const maxLimitedIdleMs = 2000

/**
 * Returns why a request should be declined; undefined if it should wait here.
 *
 * @example
 * findReasonToDecline(request, { ...facts, isPresent: false, limit: { waitMs: 200, idleMs: 100 } }, nowMs) // 'the engine takes few requests …'
 */
export function findReasonToDecline (request: AllocationRequest, facts: DeclineFacts, nowMs: number): string | undefined {
  const { load, isPresent, loadMs, availableLoads, startMs, prefillMs, limit } = facts
  if (limit && isPresent && limit.waitMs > maxRareBacklogMs) return `the engine takes few requests, and its turn would come in ${Math.round(limit.waitMs)} ms`
  if (limit && !isPresent && limit.idleMs < maxLimitedIdleMs) return 'the engine takes few requests and does not have its adapter'
  if (facts.overShareWaitMs > 0) return 'its account is over its share of the engine'
  if (load.backlogMs > facts.maxBacklogMs) return `it would wait ${Math.round(load.backlogMs)} ms behind long prompts`
  // Another replica of a rare adapter would occupy a slot of another engine for little work.
  const isOverloaded = facts.prefillShare > hotPrefillShare ? isNearCapacity(load) : load.backlogMs > computeRareBacklogLimitMs(request, facts) || load.batchPart >= 1
  if (isOverloaded) return `prefill uses ${Math.round(load.use * 100)}% of the engine's time and ${Math.round(load.batchPart * 100)}% of the batch is in use`
  const isFastToLoad = isPresent || loadMs < fastLoadMs
  if (!isFastToLoad && request.isServedElsewhere) return 'another engine serves its adapter'
  if (!isFastToLoad && availableLoads <= 0) return 'no slot is free for its adapter, or too many loads are in progress'
  const maxWaitMs = Math.max(request.dueAtMs - nowMs, (request.abandonAtMs - nowMs) * lateDeclineRatio)
  return startMs + prefillMs > maxWaitMs ? `it would start in ${Math.round(startMs)} ms` : undefined
}

/**
 * Computes the prefill backlog above which a request for a rare adapter is declined. Where only this engine has the adapter, it
 * is at least the time of a cold load, which another engine would need.
 */
function computeRareBacklogLimitMs ({ isServedElsewhere }: AllocationRequest, { isPresent, coldLoadMs }: DeclineFacts): number {
  return isPresent && !isServedElsewhere ? Math.max(maxRareBacklogMs, coldLoadMs) : maxRareBacklogMs
}
