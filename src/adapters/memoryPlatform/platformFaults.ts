/** Switches for the faults of the stand-in platform, the same in memory and over HTTP. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'

export const platformFaultsSchema = Type.Object({
  /** The table answers that it is not available. */
  isTableDown: Type.Boolean({ default: false }),
  /** The object store gives no answer. */
  isObjectsDown: Type.Boolean({ default: false }),
  /** The list of hosts gives no answer. */
  isHostListDown: Type.Boolean({ default: false }),
  /** The list of hosts stays as it is, although hosts come and go. */
  isHostListStale: Type.Boolean({ default: false }),
  /** Time that every call takes, in milliseconds. */
  delayMs: Type.Number({ default: 0, minimum: 0 }),
  /** The answers to this many of the next transactions are lost after the write took effect. */
  lostAnswers: Type.Integer({ default: 0, minimum: 0 }),
  /** This many of the next transactions are lost before they take effect. */
  lostWrites: Type.Integer({ default: 0, minimum: 0 }),
  /** This many of the next transactions get no answer and take effect `lateMs` later. */
  lateWrites: Type.Integer({ default: 0, minimum: 0 }),
  lateMs: Type.Number({ default: 1000, minimum: 0 }),
  /** Calls over these limits in a second are turned away; 0 sets no limit. */
  writesPerSecond: Type.Number({ default: 0, minimum: 0 }),
  readsPerSecond: Type.Number({ default: 0, minimum: 0 })
}, { additionalProperties: false })
/** Faults in force; each may be changed at any time. */
export type PlatformFaults = Static<typeof platformFaultsSchema>

/**
 * Creates faults that are all switched off, but for the given ones.
 *
 * @example
 * const faults = createPlatformFaults({ lostAnswers: 1 })
 * faults.isTableDown = true
 */
export function createPlatformFaults (faults: Partial<PlatformFaults> = {}): PlatformFaults {
  return Value.Parse(platformFaultsSchema, faults)
}
