/**
 * Finds out which requests were running on an endpoint when its process ended, from connections that broke beneath them
 * and from signs that the process is gone: its port refuses connections, or its entry tells of a later start.
 */

/** A connection to an endpoint that ended beneath a request. */
export interface CutRequest {
  readonly endpointId: string
  /** Start of the endpoint's process as the sender knew it, in Unix milliseconds; 0 where unknown. */
  readonly startedAtMs: number
  /** Hash of what the request asks. */
  readonly content: string
  /** Monotonic milliseconds at which the request was sent. */
  readonly sentAtMs: number
}

export interface CrashNotice {
  /** Names the end of one process, alike on all hosts that saw it. */
  readonly crash: string
  readonly contents: readonly string[]
}

/** An endpoint that crashed is back, and its entry tells of the new start, within this time; later starts have other reasons. */
const cutTermMs = 6000
/** Lives that are kept; more than the endpoints of the published deployments. */
const maxLives = 1024

interface Life {
  startedAtMs: number
  /** Ends that were noticed while the entry told of this start, as the entry of a crashed endpoint may stay for a while. */
  ends: number
  /** When the last end was noticed; undefined while the process is taken to run. */
  endedAtMs: number | undefined
  cuts: { content: string, atMs: number }[]
}

export class CrashWatch {
  #lives = new Map<string, Life>()

  /** Returns a notice where the process is known to have ended already; `undefined` where that is open. */
  recordCut ({ endpointId, startedAtMs, content, sentAtMs }: CutRequest, nowMs: number): CrashNotice | undefined {
    const life = this.#findLife(endpointId, startedAtMs)
    // A later start is known, so the process to which the request was sent is gone.
    if (life.startedAtMs > startedAtMs) return { crash: formatCrash(endpointId, startedAtMs, 1), contents: [content] }
    if (life.endedAtMs !== undefined) {
      if (sentAtMs <= life.endedAtMs) return { crash: formatCrash(endpointId, startedAtMs, life.ends), contents: [content] }
      // It took a request after its end, so it runs again.
      life.endedAtMs = undefined
    }
    life.cuts = life.cuts.filter(cut => nowMs - cut.atMs < cutTermMs)
    life.cuts.push({ content, atMs: nowMs })
    return undefined
  }

  /** Whether connections ended of late of which it is open why. */
  hasOpenCuts (endpointId: string): boolean {
    return (this.#lives.get(endpointId)?.cuts.length ?? 0) > 0
  }

  /** The endpoint's port refuses connections. */
  recordRefused (endpointId: string, nowMs: number): CrashNotice | undefined {
    const life = this.#lives.get(endpointId)
    return life && this.#end(endpointId, life, nowMs)
  }

  /** The endpoint's entry tells when its process started. */
  recordStart (endpointId: string, startedAtMs: number, nowMs: number): CrashNotice | undefined {
    const life = this.#lives.get(endpointId)
    if (!life || startedAtMs <= life.startedAtMs) return undefined
    const notice = this.#end(endpointId, life, nowMs)
    this.#lives.delete(endpointId)
    return notice
  }

  /** Another host noticed a crash. */
  recordCrash (crash: string, nowMs: number): void {
    const named = parseCrash(crash)
    if (!named) return
    const life = this.#findLife(named.endpointId, named.startedAtMs)
    if (life.startedAtMs !== named.startedAtMs || life.ends >= named.ends) return
    life.ends = named.ends
    life.endedAtMs = nowMs
  }

  forget (endpointId: string): void {
    this.#lives.delete(endpointId)
  }

  #end (endpointId: string, life: Life, nowMs: number): CrashNotice | undefined {
    if (life.endedAtMs === undefined) life.ends++
    life.endedAtMs ??= nowMs
    const contents = life.cuts.filter(cut => nowMs - cut.atMs < cutTermMs).map(cut => cut.content)
    life.cuts = []
    return contents.length === 0 ? undefined : { crash: formatCrash(endpointId, life.startedAtMs, life.ends), contents }
  }

  #findLife (endpointId: string, startedAtMs: number): Life {
    const known = this.#lives.get(endpointId)
    if (known && known.startedAtMs >= startedAtMs) return known
    const life: Life = { startedAtMs, ends: 0, endedAtMs: undefined, cuts: [] }
    this.#lives.delete(endpointId)
    this.#lives.set(endpointId, life)
    if (this.#lives.size > maxLives) this.#lives.delete(this.#lives.keys().next().value!)
    return life
  }
}

const crashPattern = /^(.+)@(\d+)\/(\d+)$/

function parseCrash (crash: string): { endpointId: string, startedAtMs: number, ends: number } | undefined {
  const [, endpointId, startedAtMs, ends] = crashPattern.exec(crash) ?? []
  return endpointId === undefined ? undefined : { endpointId, startedAtMs: Number(startedAtMs), ends: Number(ends) }
}

function formatCrash (endpointId: string, startedAtMs: number, ends: number): string {
  return `${endpointId}@${startedAtMs}/${ends}`
}
