/** Streams that this host has begun lately, with where each was begun. */
import type { StreamOrigin, StreamRecord } from '../schemas/streamRows.js'

/** Callers take up a stream within its deadline; the published ones are up to 12 s. */
export const streamTtlMs = 60_000
/** A caller takes a stream up within this time whose end was lost on its way. */
const lostEndMs = 2000
/** About a minute of the streams of one host at the two-year size, five times over; some 200 bytes each. */
const maxStreams = 8192

interface BegunStream extends StreamOrigin {
  endpointId: string
  begunAtMs: number
  endedAtMs: number | undefined
}

export class BegunStreams {
  #streams = new Map<string, BegunStream>()

  record (key: string, origin: StreamOrigin, endpointId: string, nowMs: number): void {
    // Deleting first keeps the map in order of the beginnings.
    this.#streams.delete(key)
    this.#streams.set(key, { ...origin, endpointId, begunAtMs: nowMs, endedAtMs: undefined })
    for (const [oldestKey, { begunAtMs }] of this.#streams) {
      if (this.#streams.size <= maxStreams && nowMs - begunAtMs < streamTtlMs) break
      this.#streams.delete(oldestKey)
    }
  }

  /** Records that the answer was relayed to its end. */
  recordEnded (key: string, nowMs: number): void {
    const stream = this.#streams.get(key)
    if (stream) stream.endedAtMs ??= nowMs
  }

  find (key: string, nowMs: number): StreamOrigin | undefined {
    const stream = this.#streams.get(key)
    return stream && nowMs - stream.begunAtMs < streamTtlMs ? stream : undefined
  }

  /** Lists the streams of a service that may still be taken up: those that have not ended, or whose end a caller may have lost. */
  listService (service: string, nowMs: number): StreamRecord[] {
    const mayBeTakenUp = ({ begunAtMs, endedAtMs }: BegunStream): boolean => nowMs - begunAtMs < streamTtlMs && (endedAtMs === undefined || nowMs - endedAtMs < lostEndMs)
    return [...this.#streams].filter(([, stream]) => stream.service === service && mayBeTakenUp(stream)).map(([key, { version }]) => ({ key, service, version }))
  }

  /** Removes the streams of an endpoint that were begun after a time; returns their keys. */
  removeSince (endpointId: string, sinceMs: number): string[] {
    const keys = [...this.#streams].filter(([, stream]) => stream.endpointId === endpointId && stream.begunAtMs >= sinceMs).map(([key]) => key)
    for (const key of keys) this.#streams.delete(key)
    return keys
  }
}
