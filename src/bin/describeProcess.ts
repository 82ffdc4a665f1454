/** Dumps the state of one process: the state of each of its tasks, without secrets. */

/** Describes one task. The result contains no keys, key hashes or request bodies. */
export type DescribeTask = () => unknown

const bytesPerMebibyte = 1024 * 1024

/**
 * Combines the states of the tasks with figures of the process. A task that throws is shown as `{ error }`; the others are
 * unaffected.
 *
 * @example
 * describeProcess('gateway', { gateway: () => gateway.describeState() })
 */
export function describeProcess (role: string, tasks: Record<string, DescribeTask>): Record<string, unknown> {
  const { rss, heapUsed, external } = process.memoryUsage()
  const states = Object.entries(tasks).map(([name, describe]) => [name, describeTask(describe)])
  return {
    role,
    pid: process.pid,
    upSeconds: Math.round(process.uptime()),
    memoryMebibytes: { rss: convertToMebibytes(rss), heapUsed: convertToMebibytes(heapUsed), external: convertToMebibytes(external) },
    ...Object.fromEntries(states)
  }
}

function describeTask (describe: DescribeTask): unknown {
  try {
    return describe()
  } catch (error) {
    return { error: (error as Error).message }
  }
}

function convertToMebibytes (bytes: number): number {
  return Math.round(bytes / bytesPerMebibyte)
}
