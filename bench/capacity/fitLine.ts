/** Fits a straight line through measurements at several sizes. */

export interface Measurement {
  size: number
  value: number
}

export interface Line {
  /** Value for each further unit of size. */
  slope: number
  base: number
  /** Largest difference of a measurement from the line, as a share of the largest measurement. */
  error: number
}

/**
 * Fits by least squares.
 *
 * @example
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }]) // { slope: 2, base: 1, error: 0 }
 */
export function fitLine (measurements: Measurement[]): Line {
  const count = measurements.length
  const meanSize = measurements.reduce((sum, { size }) => sum + size, 0) / count
  const meanValue = measurements.reduce((sum, { value }) => sum + value, 0) / count
  const spread = measurements.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const slope = measurements.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0) / spread
  const base = meanValue - slope * meanSize
  const largest = Math.max(...measurements.map(({ value }) => Math.abs(value)))
  const error = Math.max(...measurements.map(({ size, value }) => Math.abs(value - base - slope * size))) / largest
  return { slope, base, error }
}
