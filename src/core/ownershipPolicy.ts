/** The ownership rules on which safety depends, as functions, so that tests can disable each one. */
import type { FormerOwnerState } from './formerOwnerTracker.js'

export interface OwnershipPolicy {
  /** Whether an owner may serve now, given the time until which its last proof of ownership is valid. */
  mayServe: (nowMs: number, servesUntilMs: number) => boolean
  /** Whether a former owner can no longer send requests. */
  hasFormerOwnerEnded: (state: FormerOwnerState) => boolean
  /** Whether a handle may be unloaded without a write, given whether the table may list it as adoptable. */
  canUnloadWithoutWrite: (mayBeAdoptable: boolean) => boolean
}

export const defaultOwnershipPolicy: OwnershipPolicy = Object.freeze<OwnershipPolicy>({
  mayServe: (nowMs, servesUntilMs) => nowMs < servesUntilMs,
  hasFormerOwnerEnded: state => state !== 'mayServe',
  canUnloadWithoutWrite: mayBeAdoptable => !mayBeAdoptable
})
