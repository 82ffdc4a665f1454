/**
 * Determines which requests were running on an endpoint when its process ended. The inputs are connections that closed
 * during a request, and evidence that the process has ended: its port refuses connections, or its entry has a later start.
 */

/** A request whose connection to the endpoint closed before the response ended. */
export interface InterruptedRequest {
  readonly endpointId: string
  /** Start time of the endpoint's process as known to the sender, in Unix milliseconds; 0 if unknown. */
  readonly startedAtMs: number
  /** Hash of the request content. */
  readonly content: string
  /** Prompt parts that other requests may share. */
  readonly parts: readonly string[]
  /** Whether the endpoint had begun its answer, so that the request's parts are not the cause. */
  readonly hasBegun: boolean
  /** When the request was sent, in milliseconds of the monotonic clock. */
  readonly sentAtMs: number
}

/** Reports that a process ended while requests were running on it. */
export interface CrashNotice {
  /** Identifies the end of one process; the same on all hosts that detect it. */
  readonly crash: string
  readonly requests: readonly InterruptedRequest[]
}

/**
 * A crashed endpoint is running again, with the new start time in its entry, within this time. A later start has another
 * cause, so older interruptions are not attributed to it.
 */
const interruptionTtlMs = 6000
/** Maximum number of tracked processes; more than the published deployments have endpoints. */
const maxProcesses = 1024

interface EndpointProcess {
  startedAtMs: number
  /** Ends detected under this start time; can exceed one, as a crashed endpoint's entry may remain unchanged for a while. */
  endCount: number
  /** When the last end was detected; undefined while the process is assumed to be running. */
  endedAtMs: number | undefined
  interruptions: { request: InterruptedRequest, atMs: number }[]
}

export class CrashDetector {
  #processes = new Map<string, EndpointProcess>()

  /** Returns a notice if the process is already known to have ended; undefined if that is not known yet. */
  recordInterruption (request: InterruptedRequest, nowMs: number): CrashNotice | undefined {
    const { endpointId, startedAtMs, sentAtMs } = request
    const process = this.#findOrAdd(endpointId, startedAtMs)
    // A later start is known, so the process that received the request is gone.
    if (process.startedAtMs > startedAtMs) return { crash: formatCrash(endpointId, startedAtMs, 1), requests: [request] }
    if (process.endedAtMs !== undefined) {
      if (sentAtMs <= process.endedAtMs) return { crash: formatCrash(endpointId, startedAtMs, process.endCount), requests: [request] }
      // The request was sent after the detected end, so the endpoint is running again.
      process.endedAtMs = undefined
    }
    process.interruptions = process.interruptions.filter(interruption => nowMs - interruption.atMs < interruptionTtlMs)
    process.interruptions.push({ request, atMs: nowMs })
    return undefined
  }

  /** Whether requests were interrupted for which it is not yet known whether the process ended. */
  hasUnexplainedInterruptions (endpointId: string): boolean {
    return (this.#processes.get(endpointId)?.interruptions.length ?? 0) > 0
  }

  /** Records that the endpoint's port refuses connections, so its process has ended. */
  recordConnectionRefused (endpointId: string, nowMs: number): CrashNotice | undefined {
    const process = this.#processes.get(endpointId)
    return process && this.#recordEnd(endpointId, process, nowMs)
  }

  /** Records the process start time from the endpoint's entry. */
  recordProcessStart (endpointId: string, startedAtMs: number, nowMs: number): CrashNotice | undefined {
    const process = this.#processes.get(endpointId)
    if (!process || startedAtMs <= process.startedAtMs) return undefined
    const notice = this.#recordEnd(endpointId, process, nowMs)
    this.#processes.delete(endpointId)
    return notice
  }

  /** Records a crash that another host detected. */
  recordRemoteCrash (crash: string, nowMs: number): void {
    const parsed = parseCrash(crash)
    if (!parsed) return
    const process = this.#findOrAdd(parsed.endpointId, parsed.startedAtMs)
    if (process.startedAtMs !== parsed.startedAtMs || process.endCount >= parsed.endCount) return
    process.endCount = parsed.endCount
    process.endedAtMs = nowMs
  }

  remove (endpointId: string): void {
    this.#processes.delete(endpointId)
  }

  #recordEnd (endpointId: string, process: EndpointProcess, nowMs: number): CrashNotice | undefined {
    if (process.endedAtMs === undefined) process.endCount++
    process.endedAtMs ??= nowMs
    const requests = process.interruptions.filter(interruption => nowMs - interruption.atMs < interruptionTtlMs).map(interruption => interruption.request)
    process.interruptions = []
    return requests.length === 0 ? undefined : { crash: formatCrash(endpointId, process.startedAtMs, process.endCount), requests }
  }

  #findOrAdd (endpointId: string, startedAtMs: number): EndpointProcess {
    const known = this.#processes.get(endpointId)
    if (known && known.startedAtMs >= startedAtMs) return known
    const process: EndpointProcess = { startedAtMs, endCount: 0, endedAtMs: undefined, interruptions: [] }
    this.#processes.delete(endpointId)
    this.#processes.set(endpointId, process)
    if (this.#processes.size > maxProcesses) this.#processes.delete(this.#processes.keys().next().value!)
    return process
  }
}

const crashIdPattern = /^(.+)@(\d+)\/(\d+)$/

function parseCrash (crash: string): { endpointId: string, startedAtMs: number, endCount: number } | undefined {
  const [, endpointId, startedAtMs, endCount] = crashIdPattern.exec(crash) ?? []
  return endpointId === undefined ? undefined : { endpointId, startedAtMs: Number(startedAtMs), endCount: Number(endCount) }
}

function formatCrash (endpointId: string, startedAtMs: number, endCount: number): string {
  return `${endpointId}@${startedAtMs}/${endCount}`
}
