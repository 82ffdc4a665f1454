/** Splits a stream of server-sent events into complete events and tracks the ID of the last one that may be relayed. */
import { parseSseBlock } from './sseEvent.js'
import { SseEventOrder } from './sseEventOrder.js'

export interface CompleteEvents {
  /** Complete events in order, to be passed on unchanged. */
  bytes: Buffer
  count: number
  /** ID of the last event that was passed on so far, from any chunk; undefined if events have none. */
  lastId: number | undefined
  /** Why nothing after `bytes` can be passed on, if that is so. */
  defect: string | undefined
}

/** Maximum size of an event that is buffered until it is complete. */
const maxEventBytes = 1024 * 1024

const lineFeed = 0x0a
const carriageReturn = 0x0d

/**
 * Buffers the bytes of an event until it is complete, so that an interrupted stream can resume after its last complete event.
 *
 * @example
 * const splitter = new SseEventSplitter(undefined)
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId // 1
 */
export class SseEventSplitter {
  #buffered: Buffer = Buffer.alloc(0)
  /** Complete events and comments that are passed on with the next event in order. */
  #held: Buffer[] = []
  #order: SseEventOrder

  /** `lastId`: ID of the last event that the caller has received; undefined at the start of a stream. */
  constructor (lastId: number | undefined) {
    this.#order = new SseEventOrder(lastId)
  }

  get lastId (): number | undefined {
    return this.#order.lastId
  }

  /** Whether the stream would end within an event, or before it is certain that its first event is in order. */
  get isIncomplete (): boolean {
    return this.#buffered.some(byte => byte !== lineFeed && byte !== carriageReturn) || this.#order.isHolding
  }

  /** Takes what follows the last event of a stream that has ended: comments. */
  takeRest (): Buffer {
    const rest = Buffer.concat([...this.#held, this.#buffered])
    this.clear()
    return rest
  }

  /** Discards the buffered bytes, before the stream resumes on another endpoint. */
  clear (): void {
    this.#buffered = Buffer.alloc(0)
    this.#held = []
  }

  add (chunk: Buffer): CompleteEvents {
    const bytes = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk])
    const complete: Buffer[] = []
    let start = 0
    let count = 0
    let defect: string | undefined
    for (let end = findEventEnd(bytes, start); end > 0 && defect === undefined; end = findEventEnd(bytes, start)) {
      const block = bytes.subarray(start, end)
      start = end
      const verdict = this.#check(block)
      this.#held.push(block)
      if (verdict === 'inOrder') {
        complete.push(...this.#held.splice(0))
        count++
      } else if (verdict === 'outOfOrder') {
        defect = 'the events of the stream are out of order, or one has no readable id'
      }
    }
    this.#buffered = bytes.subarray(start)
    if (this.#buffered.length > maxEventBytes) defect ??= 'an event of the stream exceeds the size limit'
    return { bytes: complete.length === 1 ? complete[0]! : Buffer.concat(complete), count, lastId: this.#order.lastId, defect }
  }

  #check (block: Buffer): 'inOrder' | 'hold' | 'outOfOrder' {
    const parsed = parseSseBlock(block.toString('latin1'))
    if (parsed.kind === 'filler') return 'hold'
    return parsed.kind === 'unreadable' ? 'outOfOrder' : this.#order.check(parsed.id)
  }
}

/** Returns the end of the event that begins at `start`, after its empty line; 0 if the event is incomplete. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
    const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1
    if (bytes[next] === lineFeed) return next + 1
  }
  return 0
}
