/** Limits on what the connections of one port of a gateway hold, from the limits of its process. */
import { readFileSync } from 'node:fs'
import { getHeapStatistics } from 'node:v8'
import { ConnectionBudget } from '../../core/connectionBudget.js'

/** Fraction of the heap that requests read ahead and bodies of one port may use. */
const heapFraction = 0.15
/** Bodies of the largest size that fit in any case, with the copy that is made of each. */
const minLargestBodies = 3
/** Fraction of the process's descriptors that the connections of one port may use; the rest is for engines, peers and the other port. */
const descriptorFraction = 0.5

/**
 * Creates the limits for a port whose bodies have at most this size.
 *
 * @example
 * const budget = createCallerBudget(maxRequestBodyBytes)
 */
export function createCallerBudget (maxBodyBytes: number): ConnectionBudget {
  return new ConnectionBudget({
    maxBytes: Math.max(getHeapStatistics().heap_size_limit * heapFraction, maxBodyBytes * minLargestBodies),
    maxConnections: Math.floor(readMaxDescriptors() * descriptorFraction)
  })
}

/** Open files that the system allows this process; no limit is known where the system does not report one. */
function readMaxDescriptors (): number {
  try {
    return Number(/^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1] ?? Infinity)
  } catch {
    // Not on Linux.
    return Infinity
  }
}
