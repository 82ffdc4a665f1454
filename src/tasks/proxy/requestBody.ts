/** Collects the body of one request, within the limits on it and on all bodies in memory. */
import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from '../../core/byteBuffer.js'
import type { HeldShare, HeldTotal } from '../../core/heldTotal.js'

export interface RequestBodyOptions {
  message: IncomingMessage
  /** Limit on this body. */
  maxBytes: number
  /** Bytes of all bodies in memory. */
  heldBytes: HeldTotal
  /** Limit on these. */
  maxHeldBytes: number
  /** Called with the size of each chunk, also of those that are ignored. */
  receiveRead: (bytes: number) => void
  /** Called with the whole body; undefined if it is empty. */
  onComplete: (body: Buffer | undefined) => void
  /** Called each time a number of small chunks has arrived. */
  onSmallChunks: () => void
  /** Called with the status of the rejection if the body exceeds a limit. */
  onExcess: (status: number) => void
}

const contentTooLargeStatus = 413
const unavailableStatus = 503

/** Chunks below this size cost more time than their bytes. */
const smallChunkBytes = 256
/** Small chunks between two reports, which take about 1 ms to read. */
const reportedSmallChunks = 512

/** Counts the small chunks of a body, which may be read to its end however many there are, yet not at the expense of others. */
export class SmallChunkCounter {
  #count = 0

  /** Adds a chunk of this size; returns whether the connection should be read less often. */
  add (bytes: number): boolean {
    return bytes < smallChunkBytes && ++this.#count % reportedSmallChunks === 0
  }
}

export class RequestBody {
  #options: RequestBodyOptions
  #bytes = new ByteBuffer()
  #smallChunks = new SmallChunkCounter()
  #share: HeldShare
  #isCollecting = true

  constructor (options: RequestBodyOptions) {
    this.#options = options
    this.#share = options.heldBytes.openShare(() => this.#refuse(unavailableStatus))
    options.message.on('data', (chunk: Buffer) => this.#add(chunk))
    options.message.on('end', () => this.#complete())
  }

  /** Drops what was collected and ignores what still arrives. */
  release (): void {
    this.#isCollecting = false
    this.#bytes.clear()
    this.#share.release()
  }

  #add (chunk: Buffer): void {
    this.#options.receiveRead(chunk.length)
    if (!this.#isCollecting) return
    const status = this.#findExcess(chunk.length)
    if (status !== undefined) {
      this.#refuse(status)
      return
    }
    if (this.#smallChunks.add(chunk.length)) this.#options.onSmallChunks()
    this.#share.add(chunk.length)
    this.#bytes.append(chunk)
  }

  #findExcess (addedBytes: number): number | undefined {
    const { maxBytes, heldBytes, maxHeldBytes } = this.#options
    if (this.#bytes.length + addedBytes > maxBytes) return contentTooLargeStatus
    // The largest incomplete body goes first, so that few large ones do not keep all others out.
    while (heldBytes.value + addedBytes > maxHeldBytes) if (!heldBytes.evictLargest(this.#bytes.length + addedBytes)) return unavailableStatus
    return undefined
  }

  #refuse (status: number): void {
    this.release()
    this.#options.onExcess(status)
  }

  /** Passes the body on; its bytes count as held until `release`, as the request holds them. */
  #complete (): void {
    if (!this.#isCollecting) return
    this.#isCollecting = false
    this.#share.pin()
    this.#options.onComplete(this.#bytes.length === 0 ? undefined : this.#bytes.take())
  }
}
