/** Remembers the replies to requests for reservations, as a host sends a request again when its reply is late. */
import type { ReservationReply } from '../../schemas/datagram.js'

/** Replies that are kept; more than hosts request before they receive the reply. */
const maxReplies = 512

/**
 * Knows a reply until `maxReplies` others were added after it, or for longer while it is needed.
 *
 * @example
 * const replies = new RecentReplies()
 * replies.add('front-1.7', refusal)
 * replies.find('front-1.7') // refusal
 */
export class RecentReplies {
  #isNeeded: (key: string) => boolean
  #replies = new Map<string, ReservationReply>()

  constructor (isNeeded: (key: string) => boolean = () => false) {
    this.#isNeeded = isNeeded
  }

  add (key: string, reply: ReservationReply): void {
    this.#replies.set(key, reply)
    for (const known of this.#replies.keys()) {
      if (this.#replies.size <= maxReplies) return
      if (!this.#isNeeded(known)) this.#replies.delete(known)
    }
  }

  find (key: string): ReservationReply | undefined {
    return this.#replies.get(key)
  }

  remove (key: string): void {
    this.#replies.delete(key)
  }
}
