/** A loopback address that belongs to one process as long as it runs. */

/** First of the networks, one for each 65,536 process ids; Linux has ids for 64 of them. */
const firstNetwork = 191

/**
 * Computes an address that no other process uses, so that a port there stays free for this one between two listeners.
 *
 * @example
 * computeProcessAddress(70_000) // '127.192.17.112'
 */
export function computeProcessAddress (pid = process.pid): string {
  return `127.${firstNetwork + (pid >> 16)}.${pid >> 8 & 255}.${pid & 255}`
}
