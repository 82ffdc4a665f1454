/** The ownership rules on which safety depends, as functions, so that tests can disable each one. */
import type { FormerState } from './ownershipFormer.js'

export interface OwnershipPolicy {
  /** Whether an owner may serve now, given the time until which its last proof of ownership is valid. */
  mayServe: (nowMs: number, servesUntilMs: number) => boolean
  /** Whether a former owner can no longer send requests. */
  hasEnded: (state: FormerState) => boolean
  /** Whether a handle may be unloaded without a write, given whether the table may list it as adoptable. */
  isOpen: (mayBeAdoptable: boolean) => boolean
}

export const defaultOwnershipPolicy: OwnershipPolicy = Object.freeze<OwnershipPolicy>({
  mayServe: (nowMs, servesUntilMs) => nowMs < servesUntilMs,
  hasEnded: state => state !== 'mayServe',
  isOpen: mayBeAdoptable => !mayBeAdoptable
})
