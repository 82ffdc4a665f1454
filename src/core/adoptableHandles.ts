/** Decides which handles of an endpoint a successor may adopt, and which ones its owner may unload without a table write. */

/** A loaded handle, as the engine last reported it. */
export interface HandleUse {
  handle: string
  /** When the handle was last observed with a running request, or when it was first observed if it never had one. */
  usedAtMs: number
}

/** One in this many slots, rounded up, is kept unpublished. */
const unpublishedSlotDivisor = 4

/** Counts the slots whose adapters the owner may unload without a write, so that it can swap adapters during an outage. */
export function countUnpublishedSlots (slots: number): number {
  return Math.max(1, Math.ceil(slots / unpublishedSlotDivisor))
}

/**
 * Selects the handles that a successor may adopt: all but the least recently used ones, which stay unpublished.
 * Free slots count as unpublished.
 *
 * @example
 * selectAdoptableHandles([{ handle: 'a@1#1.1', usedAtMs: 5 }, { handle: 'b@1#1.2', usedAtMs: 9 }], 2) // ['b@1#1.2']
 */
export function selectAdoptableHandles (uses: HandleUse[], slots: number): string[] {
  const maxAdoptable = Math.max(0, slots - countUnpublishedSlots(slots))
  return [...uses]
    .sort((left, right) => right.usedAtMs - left.usedAtMs || (left.handle < right.handle ? -1 : 1))
    .slice(0, maxAdoptable)
    .map(use => use.handle)
    .sort()
}
