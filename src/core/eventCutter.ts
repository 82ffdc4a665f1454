/** Cuts a stream of server-sent events into whole events and knows the last one that was passed on. */

export interface CutEvents {
  /** Whole events, to be passed on as they are. */
  bytes: Buffer
  count: number
  /** Id of the last of them; undefined where none has one. */
  lastId: number | undefined
  /** Whether ids rise by one from the event before; otherwise events are missing or come twice. */
  isInOrder: boolean
}

/** Longest event that is held back until it is whole. */
const maxEventBytes = 1024 * 1024

const lineFeed = 0x0a

/**
 * Holds back the bytes of an event until it is whole, so that a stream that breaks can go on after its last whole event.
 *
 * @example
 * const cutter = new EventCutter(undefined)
 * cutter.add(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId // 1
 */
export class EventCutter {
  #rest: Buffer = Buffer.alloc(0)
  #lastId: number | undefined

  /** `lastId`: id of the last event that the caller has; undefined at the start of a stream. */
  constructor (lastId: number | undefined) {
    this.#lastId = lastId
  }

  get lastId (): number | undefined {
    return this.#lastId
  }

  /** Bytes of an event that is not whole yet. */
  get heldBytes (): number {
    return this.#rest.length
  }

  /** Drops what is held back, before the stream goes on at another endpoint. */
  clear (): void {
    this.#rest = Buffer.alloc(0)
  }

  add (chunk: Buffer): CutEvents {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    let start = 0
    let count = 0
    let isInOrder = true
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const id = readEventId(bytes.subarray(start, end))
      if (id !== undefined) {
        if (this.#lastId !== undefined && id !== this.#lastId + 1) isInOrder = false
        this.#lastId = id
      }
      start = end
      count++
    }
    this.#rest = bytes.subarray(start)
    if (this.#rest.length > maxEventBytes) isInOrder = false
    return { bytes: bytes.subarray(0, start), count, lastId: this.#lastId, isInOrder }
  }
}

/** Finds the end of the event that begins at `start`, behind its empty line; 0 where it is not whole. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
    const next = bytes[index + 1] === 0x0d ? index + 2 : index + 1
    if (bytes[next] === lineFeed) return next + 1
  }
  return 0
}

function readEventId (event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'))
  return match ? Number(match[1]) : undefined
}
