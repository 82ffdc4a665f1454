/** Decides which handles of an endpoint a successor may adopt, and which its owner may unload without a write. */

/** A loaded handle, as the engine last reported it. */
export interface HandleUse {
  handle: string
  /** When the handle was last seen with a request, or first seen at all. */
  usedAtMs: number
}

const openShare = 4

/** Counts the slots whose adapters the owner may unload without a write, so that it can swap through an outage. */
export function countOpenSlots (slots: number): number {
  return Math.max(1, Math.ceil(slots / openShare))
}

/**
 * Chooses the handles that a successor may adopt: all but the least recently used ones, which stay open.
 * Free slots count as open.
 *
 * @example
 * chooseAdoptable([{ handle: 'a@1#1.1', usedAtMs: 5 }, { handle: 'b@1#1.2', usedAtMs: 9 }], 2) // ['b@1#1.2']
 */
export function chooseAdoptable (uses: HandleUse[], slots: number): string[] {
  const adoptable = Math.max(0, slots - countOpenSlots(slots))
  return [...uses]
    .sort((left, right) => right.usedAtMs - left.usedAtMs || (left.handle < right.handle ? -1 : 1))
    .slice(0, adoptable)
    .map(use => use.handle)
    .sort()
}
