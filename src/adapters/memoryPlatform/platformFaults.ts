/** Settings for the faults of the stand-in platform, both in memory and over HTTP. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

export const platformFaultsSchema = Type.Object({
  /** Calls to the table fail as unavailable; transactions are not applied. */
  isTableDown: Type.Boolean({ default: false }),
  /** Calls to the object store fail as unavailable. */
  isObjectsDown: Type.Boolean({ default: false }),
  /** Calls to the host list fail as unavailable. */
  isHostListDown: Type.Boolean({ default: false }),
  /** The host list keeps returning the entries read before this fault was set, although hosts are added and removed. */
  isHostListStale: Type.Boolean({ default: false }),
  /** Delay before every call, in milliseconds. */
  delayMs: Type.Number({ default: 0, minimum: 0 }),
  /** The responses to this many of the next transactions are lost after the transaction was applied. */
  lostAnswers: Type.Integer({ default: 0, minimum: 0 }),
  /** This many of the next transactions are lost before they are applied. */
  lostWrites: Type.Integer({ default: 0, minimum: 0 }),
  /** This many of the next transactions get no response and are applied `lateMs` later. */
  lateWrites: Type.Integer({ default: 0, minimum: 0 }),
  /** Delay of the transactions counted in `lateWrites`, in milliseconds. */
  lateMs: Type.Number({ default: 1000, minimum: 0 }),
  /** Calls over these limits per second fail as unavailable; 0 means no limit. */
  writesPerSecond: Type.Number({ default: 0, minimum: 0 }),
  readsPerSecond: Type.Number({ default: 0, minimum: 0 })
}, { additionalProperties: false })
/** Active faults; each may be changed at any time. */
export type PlatformFaults = Static<typeof platformFaultsSchema>

/**
 * Creates settings with all faults switched off except the given ones.
 *
 * @example
 * const faults = createPlatformFaults({ lostAnswers: 1 })
 * faults.isTableDown = true
 */
export function createPlatformFaults (faults: Partial<PlatformFaults> = {}): PlatformFaults {
  return Value.Parse(platformFaultsSchema, faults)
}
