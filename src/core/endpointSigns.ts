/** What endpoints say of themselves in their answers: that they leave, or want nothing for a while. It binds the host that was told. */
import type { EndpointEntry } from '../schemas/routing.js'

type Process = Pick<EndpointEntry, 'id' | 'startedAtMs'>

interface Sign {
  /** Start of the process that gave the sign; another one is free of it. */
  startedAtMs: number
  isLeaving: boolean
  pausedUntilMs: number
}

/** Endpoints that are remembered; more than the published deployments have. */
const maxSigns = 1024

export class EndpointSigns {
  #signs = new Map<string, Sign>()

  /** Returns whether this is news. */
  recordLeaving (process: Process): boolean {
    const sign = this.#findOrAdd(process)
    const isNews = !sign.isLeaving
    sign.isLeaving = true
    return isNews
  }

  /** The endpoint wants nothing until a time of the monotonic clock. */
  recordPause (process: Process, untilMs: number): void {
    const sign = this.#findOrAdd(process)
    sign.pausedUntilMs = Math.max(sign.pausedUntilMs, untilMs)
  }

  isLeaving (process: Process): boolean {
    return this.#find(process)?.isLeaving ?? false
  }

  /** Milliseconds for which the endpoint wants nothing; 0 where it takes work. */
  readPausedMs (process: Process, nowMs: number): number {
    return Math.max(0, (this.#find(process)?.pausedUntilMs ?? -Infinity) - nowMs)
  }

  mayTake (process: Process, nowMs: number): boolean {
    return !this.isLeaving(process) && this.readPausedMs(process, nowMs) === 0
  }

  #find ({ id, startedAtMs }: Process): Sign | undefined {
    const sign = this.#signs.get(id)
    return sign?.startedAtMs === startedAtMs ? sign : undefined
  }

  #findOrAdd (process: Process): Sign {
    const known = this.#find(process)
    if (known) return known
    const sign: Sign = { startedAtMs: process.startedAtMs, isLeaving: false, pausedUntilMs: -Infinity }
    this.#signs.delete(process.id)
    this.#signs.set(process.id, sign)
    if (this.#signs.size > maxSigns) this.#signs.delete(this.#signs.keys().next().value!)
    return sign
  }
}
