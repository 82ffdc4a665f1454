/** Collects the body of one request, within the limits on it and on all bodies in memory. */
import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from '../../core/byteBuffer.js'
import type { HeldShare, HeldTotal } from '../../core/heldTotal.js'
import { PieceLimit } from '../../core/pieceLimit.js'

export interface RequestBodyOptions {
  message: IncomingMessage
  /** Limit on this body. */
  maxBytes: number
  /** Bytes of all bodies in memory. */
  heldBytes: HeldTotal
  /** Limit on these. */
  maxHeldBytes: number
  /** Called with the whole body; undefined if it is empty. */
  onComplete: (body: Buffer | undefined) => void
  /** Called with the status of the rejection if the body exceeds a limit. */
  onExcess: (status: number) => void
}

const contentTooLargeStatus = 413
const badRequestStatus = 400
const unavailableStatus = 503

export class RequestBody {
  #options: RequestBodyOptions
  #bytes = new ByteBuffer()
  #pieces = new PieceLimit()
  #share: HeldShare
  #isCollecting = true

  constructor (options: RequestBodyOptions) {
    this.#options = options
    this.#share = options.heldBytes.openShare()
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
    if (!this.#isCollecting) return
    const status = this.#findExcess(chunk.length)
    if (status !== undefined) {
      this.release()
      this.#options.onExcess(status)
      return
    }
    this.#share.add(chunk.length)
    this.#bytes.append(chunk)
  }

  #findExcess (addedBytes: number): number | undefined {
    const { maxBytes, heldBytes, maxHeldBytes } = this.#options
    if (this.#bytes.length + addedBytes > maxBytes) return contentTooLargeStatus
    if (this.#pieces.add(addedBytes)) return badRequestStatus
    return heldBytes.value + addedBytes > maxHeldBytes ? unavailableStatus : undefined
  }

  /** Passes the body on; its bytes count as held until `release`, as the request holds them. */
  #complete (): void {
    if (!this.#isCollecting) return
    this.#isCollecting = false
    this.#options.onComplete(this.#bytes.length === 0 ? undefined : this.#bytes.take())
  }
}
