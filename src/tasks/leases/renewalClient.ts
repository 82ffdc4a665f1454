/** Sends this host's renewals to the renewal collector, the host that writes the renewals of many hosts in batches. */
import type { StoreEra } from '../../core/storeEra.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { RenewalResult, RenewalRequest, RenewalReply } from '../../schemas/datagram.js'

export interface RenewalClientOptions {
  clock: Clock
  eras: StoreEra
  /** Address of the renewal collector; undefined if none is known. */
  findRenewalCollector: () => string | undefined
  send: (address: string, request: RenewalRequest) => void
}

/** Time within which the collector acknowledges a renewal. After `maxSends` without a reply, it counts as unresponsive. */
const acknowledgementTimeoutMs = 80
const maxSends = 2
/** Added to the time that the collector announced for the write; the store responds in 10 ms, or in 300 ms when it is slow. */
const writeMarginMs = 450
/** A collector that did not respond or could not write the renewal is not used for this long. */
const collectorAvoidanceMs = 3000

interface PendingRenewal {
  request: RenewalRequest
  address: string
  sendCount: number
  timer: Timer | undefined
  settle: (result: RenewalResult | undefined) => void
}

export class RenewalClient {
  #options: RenewalClientOptions
  #pending: PendingRenewal | undefined
  #nextId = 1
  #avoidedUntilMs = -Infinity

  constructor (options: RenewalClientOptions) {
    this.#options = options
  }

  /** Returns the result of the renewal; undefined if no collector reported one, so that the renewal may still be written. */
  async renew (renewal: number, version: number): Promise<RenewalResult | undefined> {
    const { clock, eras, findRenewalCollector } = this.#options
    const address = findRenewalCollector()
    if (address === undefined || clock.readMonotonic() < this.#avoidedUntilMs) return undefined
    const result = await new Promise<RenewalResult | undefined>(resolve => {
      const pending: PendingRenewal = { request: { type: 'renew', id: this.#nextId++, renewal, version, ...(eras.current !== undefined && { era: eras.current }) }, address, sendCount: 0, timer: undefined, settle: resolve }
      this.#pending = pending
      this.#send(pending)
    })
    this.#pending = undefined
    if (result && result.verdict !== 'failed') return result
    this.#avoidedUntilMs = clock.readMonotonic() + collectorAvoidanceMs
    return undefined
  }

  receiveReply (reply: RenewalReply): void {
    const pending = this.#pending
    if (!pending || pending.request.id !== reply.id) return
    // A reply from before the store was restored is ignored, and the renewal counts as unanswered.
    if (reply.type === 'renewed' && !this.#options.eras.observe(reply.era)) return
    pending.timer?.cancel()
    if (reply.type === 'renewed') pending.settle(reply)
    else pending.timer = this.#options.clock.setTimer(() => pending.settle(undefined), reply.inMs + writeMarginMs)
  }

  stop (): void {
    this.#pending?.timer?.cancel()
    this.#pending?.settle(undefined)
  }

  #send (pending: PendingRenewal): void {
    pending.sendCount++
    pending.timer = this.#options.clock.setTimer(() => {
      if (pending.sendCount < maxSends) this.#send(pending)
      else pending.settle(undefined)
    }, acknowledgementTimeoutMs)
    this.#options.send(pending.address, pending.request)
  }
}
