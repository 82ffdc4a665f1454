/** Splits a stream of server-sent events into complete events and tracks the ID of the last one. */

export interface CompleteEvents {
  /** Complete events, to be passed on unchanged. */
  bytes: Buffer
  count: number
  /** ID of the last complete event so far, from any chunk; undefined if no event had one. */
  lastId: number | undefined
  /**
   * Whether IDs increase by one from event to event; otherwise events are missing or duplicated. Also false if an incomplete
   * event exceeds the maximum size.
   */
  isInOrder: boolean
}

/** Maximum size of an event that is buffered until it is complete. */
const maxEventBytes = 1024 * 1024

const lineFeed = 0x0a

/**
 * Buffers the bytes of an event until it is complete, so that an interrupted stream can resume after its last complete event.
 *
 * @example
 * const splitter = new SseEventSplitter(undefined)
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId // 1
 */
export class SseEventSplitter {
  #buffered: Buffer = Buffer.alloc(0)
  #lastId: number | undefined

  /** `lastId`: ID of the last event that the caller has received; undefined at the start of a stream. */
  constructor (lastId: number | undefined) {
    this.#lastId = lastId
  }

  get lastId (): number | undefined {
    return this.#lastId
  }

  /** Number of buffered bytes of an incomplete event. */
  get bufferedBytes (): number {
    return this.#buffered.length
  }

  /** Discards the buffered bytes, before the stream resumes on another endpoint. */
  clear (): void {
    this.#buffered = Buffer.alloc(0)
  }

  add (chunk: Buffer): CompleteEvents {
    const bytes = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk])
    let start = 0
    let count = 0
    let isInOrder = true
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const id = parseEventId(bytes.subarray(start, end))
      if (id !== undefined) {
        if (this.#lastId !== undefined && id !== this.#lastId + 1) isInOrder = false
        this.#lastId = id
      }
      start = end
      count++
    }
    this.#buffered = bytes.subarray(start)
    if (this.#buffered.length > maxEventBytes) isInOrder = false
    return { bytes: bytes.subarray(0, start), count, lastId: this.#lastId, isInOrder }
  }
}

/** Returns the end of the event that begins at `start`, after its empty line; 0 if the event is incomplete. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
    const next = bytes[index + 1] === 0x0d ? index + 2 : index + 1
    if (bytes[next] === lineFeed) return next + 1
  }
  return 0
}

function parseEventId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'))
  return match ? Number(match[1]) : undefined
}
