/** Splits a stream of server-sent events into complete events and tracks the ID of the last one that may be relayed. */
import { ByteBuffer } from './byteBuffer.js'
import { PieceLimit } from './pieceLimit.js'
import { parseSseBlock } from './sseEvent.js'
import { SseEventOrder } from './sseEventOrder.js'

export interface CompleteEvents {
  /** Complete events and comments in order, to be passed on unchanged. */
  bytes: Buffer
  /** Number of events; comments do not count. */
  count: number
  /** ID of the last event that was passed on so far, from any chunk; undefined if events have none. */
  lastId: number | undefined
  /** Why nothing after `bytes` can be passed on, if that is so. */
  defect: string | undefined
}

export interface SseEventSplitterOptions {
  /** ID of the last event that the caller has received; undefined at the start of a stream. */
  lastId: number | undefined
  /** Whether the caller has the beginning of the response, so that comments can be passed on before the next event. */
  isContinued: boolean
}

/** Maximum size of one event, which is buffered until it is complete. */
const maxEventBytes = 1024 * 1024
/** Maximum size of the comments and empty lines between two events. */
const maxFillerBytes = 64 * 1024

const lineFeed = 0x0a
const carriageReturn = 0x0d

/**
 * Buffers the bytes of an event until it is complete, so that an interrupted stream can resume after its last complete event. Comments
 * between two events keep a quiet connection open, so they are passed on at once. Each byte is examined once, and the bytes and pieces
 * without an event are limited.
 *
 * @example
 * const splitter = new SseEventSplitter({ lastId: undefined, isContinued: false })
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId // 1
 */
export class SseEventSplitter {
  /** Bytes that are not passed on yet; the current block is at their end. */
  #pending = new ByteBuffer()
  #order: SseEventOrder
  /** Whether comments can be passed on without an event. */
  #isContinued: boolean
  /** Bytes of the current block, which ends with an empty line, that earlier chunks contained. */
  #blockBytes = 0
  /** Whether the current block has a line that is not empty. */
  #hasLines = false
  /** Length of the current line in earlier chunks, and the last byte received. */
  #lineBytes = 0
  #lastByte: number | undefined
  /** Bytes of comments and empty lines since the last event. */
  #fillerBytes = 0
  #piecesSinceEvent = new PieceLimit()

  constructor ({ lastId, isContinued }: SseEventSplitterOptions) {
    this.#order = new SseEventOrder(lastId)
    this.#isContinued = isContinued
  }

  get lastId (): number | undefined {
    return this.#order.lastId
  }

  /** Whether the stream would end within an event, or before it is certain that its first event is in order. */
  get isIncomplete (): boolean {
    return this.#hasLines || !this.#isBlank(this.#lineBytes, this.#lastByte) || this.#order.isHolding
  }

  /** Takes what follows the last event of a stream that has ended: comments. */
  takeRest (): Buffer {
    return this.#pending.take()
  }

  /** Discards the buffered bytes, before the stream resumes on another endpoint. */
  clear (): void {
    this.#pending.clear()
  }

  add (chunk: Buffer): CompleteEvents {
    let defect: string | undefined
    let [lineStart, blockStart, passEnd, count] = [0, 0, 0, 0]
    for (let index = chunk.indexOf(lineFeed); index >= 0 && defect === undefined; index = chunk.indexOf(lineFeed, index + 1)) {
      const isBlank = this.#isBlank(this.#lineBytes + index - lineStart, index > lineStart ? chunk[index - 1] : this.#lastByte)
      this.#lineBytes = 0
      lineStart = index + 1
      if (!isBlank) {
        this.#hasLines = true
        continue
      }
      const verdict = this.#checkBlock(chunk.subarray(blockStart, lineStart))
      this.#hasLines = false
      this.#blockBytes = 0
      blockStart = lineStart
      if (verdict === 'inOrder') count++
      if (verdict === 'outOfOrder') defect = 'the events of the stream are out of order, or one has no readable id'
      else if (this.#isContinued && !this.#order.isHolding) passEnd = lineStart
    }
    if (count > 0) this.#piecesSinceEvent.reset()
    const isInTooManyPieces = this.#piecesSinceEvent.add(chunk.length)
    const bytes = this.#takePassed(chunk.subarray(0, passEnd))
    this.#pending.append(chunk.subarray(passEnd))
    this.#blockBytes += chunk.length - blockStart
    this.#lineBytes += chunk.length - lineStart
    this.#lastByte = chunk.at(-1) ?? this.#lastByte
    defect ??= this.#findExcess(isInTooManyPieces)
    return { bytes, count, lastId: this.#order.lastId, defect }
  }

  #isBlank (lineBytes: number, lastByte: number | undefined): boolean {
    return lineBytes === 0 || (lineBytes === 1 && lastByte === carriageReturn)
  }

  /** Checks the block that ends with these bytes. */
  #checkBlock (end: Buffer): 'inOrder' | 'hold' | 'outOfOrder' | 'filler' {
    const parsed = this.#hasLines ? parseSseBlock(this.#readBlock(end).toString('latin1')) : { kind: 'filler' } as const
    if (parsed.kind === 'filler') {
      this.#fillerBytes += this.#blockBytes + end.length
      return 'filler'
    }
    const verdict = parsed.kind === 'unreadable' ? 'outOfOrder' : this.#order.check(parsed.id)
    if (verdict !== 'inOrder') return verdict
    this.#fillerBytes = 0
    this.#isContinued = true
    return verdict
  }

  #readBlock (end: Buffer): Buffer {
    return this.#blockBytes === 0 ? end : Buffer.concat([this.#pending.readLast(this.#blockBytes), end])
  }

  /** Takes the pending bytes, if the bytes after them are passed on. */
  #takePassed (bytes: Buffer): Buffer {
    if (bytes.length === 0 || this.#pending.length === 0) return bytes
    this.#pending.append(bytes)
    return this.#pending.take()
  }

  #findExcess (isInTooManyPieces: boolean): string | undefined {
    if (this.#blockBytes > maxEventBytes) return `an event of the stream has more than ${maxEventBytes} bytes`
    if (this.#fillerBytes > maxFillerBytes) return `the stream sent more than ${maxFillerBytes} bytes of comments without an event`
    return isInTooManyPieces ? 'the stream sent too many small pieces without an event' : undefined
  }
}
