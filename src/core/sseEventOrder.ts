/** Decides which events of a stream its caller may get, by their ids. */

/** `hold`: whether the event is in order shows with the next one. */
export type SseOrderVerdict = 'inOrder' | 'hold' | 'outOfOrder'

/** Id of the first event of a stream that begins. */
const firstEventId = 1

/**
 * Tracks the ids of a stream's events, which increase by one. The first event of a stream that does not begin with 1 is held until the next
 * one confirms its id: it would be named as the last event that the caller has.
 */
export class SseEventOrder {
  #lastId: number | undefined
  /** Whether a first event is held; its id is undefined if it has none. */
  #held: { readonly id: number | undefined } | undefined
  /** Whether the stream's events have no ids, so that it can't be resumed. */
  #isWithoutIds = false

  /** `lastId`: ID of the last event that the caller has received; undefined at the start of a stream. */
  constructor (lastId: number | undefined) {
    this.#lastId = lastId
  }

  /** ID of the last event in order; undefined if there was none, or if events have no ids. */
  get lastId (): number | undefined {
    return this.#lastId
  }

  get isHolding (): boolean {
    return this.#held !== undefined
  }

  /**
   * Checks the next event. An event in order takes the one that is held with it.
   *
   * @example
   * const order = new SseEventOrder(2)
   * order.check(3) // 'inOrder'
   * order.check(7) // 'outOfOrder'
   */
  check (id: number | undefined): SseOrderVerdict {
    if (this.#held) return this.#confirmHeld(this.#held.id, id)
    if (this.#isWithoutIds) return id === undefined ? 'inOrder' : 'outOfOrder'
    if (this.#lastId === undefined && id !== firstEventId) {
      this.#held = { id }
      return 'hold'
    }
    if (id === undefined || (this.#lastId !== undefined && id !== this.#lastId + 1)) return 'outOfOrder'
    this.#lastId = id
    return 'inOrder'
  }

  #confirmHeld (heldId: number | undefined, id: number | undefined): SseOrderVerdict {
    const isConfirmed = heldId === undefined ? id === undefined : id === heldId + 1
    if (!isConfirmed) return 'outOfOrder'
    this.#held = undefined
    this.#isWithoutIds = id === undefined
    this.#lastId = id
    return 'inOrder'
  }
}
