/** Draws for faults that strike a set part of what happens, without the luck of independent draws. */

/** The golden ratio's fraction: of all steps around a circle it leaves the most even gaps, also where only each n-th draw counts. */
const step = 0.6180339887498949

/**
 * Creates draws from 0 up to 1 of which each part comes up as often as its share, in short runs too.
 *
 * @example
 * const draw = createEvenDraws()
 * draw() < 0.5 // true for half of the calls
 */
export function createEvenDraws (): () => number {
  let value = 0
  return () => {
    value = (value + step) % 1
    return value
  }
}
