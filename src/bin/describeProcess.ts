/** The dump of one process: the state of each of its tasks, without secrets. */

/** Describes one task; the result holds no key, hash of a key or body of a request. */
export type DescribePart = () => unknown

const bytesPerMebibyte = 1024 * 1024

/**
 * Puts the state of the tasks together. A part that fails shows its error and keeps the others readable.
 *
 * @example
 * describeProcess('gateway', { gateway: () => gateway.describeState() })
 */
export function describeProcess (role: string, parts: Record<string, DescribePart>): Record<string, unknown> {
  const { rss, heapUsed, external } = process.memoryUsage()
  const states = Object.entries(parts).map(([name, describe]) => [name, describePart(describe)])
  return {
    role,
    pid: process.pid,
    upSeconds: Math.round(process.uptime()),
    memoryMebibytes: { rss: formatMebibytes(rss), heapUsed: formatMebibytes(heapUsed), external: formatMebibytes(external) },
    ...Object.fromEntries(states)
  }
}

function describePart (describe: DescribePart): unknown {
  try {
    return describe()
  } catch (error) {
    return { error: (error as Error).message }
  }
}

function formatMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte)
}
