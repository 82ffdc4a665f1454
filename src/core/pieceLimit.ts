/** Limits the number of pieces in which a response may arrive, as each takes processor time however small it is. */

/** Pieces that are allowed whatever their size. */
const allowedPieces = 16_384
/** Mean size of the pieces beyond those. */
const minMeanBytes = 16

/**
 * Counts the pieces of a response, or of a part of it. Pieces of 16 bytes and more on average are never too many.
 *
 * @example
 * const limit = new PieceLimit()
 * limit.add(1) // false: one piece is not too many
 */
export class PieceLimit {
  #pieces = 0
  #bytes = 0

  /** Adds a piece of this size; returns whether there are too many now. */
  add (bytes: number): boolean {
    this.#pieces++
    this.#bytes += bytes
    return this.#pieces > allowedPieces + this.#bytes / minMeanBytes
  }

  reset (): void {
    this.#pieces = 0
    this.#bytes = 0
  }
}
