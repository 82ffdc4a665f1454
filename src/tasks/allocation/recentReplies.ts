/** Remembers the replies to requests for reservations, as a host sends a request again when its reply is late. */
import type { ReservationReply } from '../../schemas/datagram.js'

/** Replies that are kept; more than hosts request before they receive the reply. */
const maxReplies = 512

/**
 * Knows a reply until `maxReplies` others were added after it.
 *
 * @example
 * const replies = new RecentReplies()
 * replies.add('front-1.7', refusal)
 * replies.find('front-1.7') // refusal
 */
export class RecentReplies {
  #replies = new Map<string, ReservationReply>()

  add (key: string, reply: ReservationReply): void {
    this.#replies.set(key, reply)
    if (this.#replies.size > maxReplies) this.#replies.delete(this.#replies.keys().next().value!)
  }

  find (key: string): ReservationReply | undefined {
    return this.#replies.get(key)
  }

  remove (key: string): void {
    this.#replies.delete(key)
  }
}
