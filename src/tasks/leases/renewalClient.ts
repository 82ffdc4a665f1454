/** Has a host's renewals written by the host that gathers them, as long as that one answers. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { RenewalAnswer, RenewalAsk, RenewalReply } from '../../schemas/datagram.js'

export interface RenewalClientOptions {
  clock: Clock
  /** Address of the host that gathers renewals; undefined where none is known. */
  findGatherer: () => string | undefined
  send: (address: string, ask: RenewalAsk) => void
}

/** A gatherer says within this time that it has a renewal; it is asked twice. */
const answerTimeoutMs = 80
const maxAsks = 2
/** Beyond the time that the gatherer named; the store answers in 10 ms, or 300 ms when slow. */
const writeMarginMs = 450
/** A gatherer that was silent or did not reach the store is not asked for this long. */
const avoidMs = 3000

interface OpenRenewal {
  ask: RenewalAsk
  address: string
  asks: number
  timer: Timer | undefined
  settle: (answer: RenewalAnswer | undefined) => void
}

export class RenewalClient {
  #options: RenewalClientOptions
  #open: OpenRenewal | undefined
  #nextId = 1
  #avoidedUntilMs = -Infinity

  constructor (options: RenewalClientOptions) {
    this.#options = options
  }

  /** Resolves with what became of the renewal; undefined where the gatherer does not tell, so that it may yet be written. */
  async renew (renewal: number, version: number): Promise<RenewalAnswer | undefined> {
    const { clock, findGatherer } = this.#options
    const address = findGatherer()
    if (address === undefined || clock.readMonotonic() < this.#avoidedUntilMs) return undefined
    const answer = await new Promise<RenewalAnswer | undefined>(resolve => {
      const open: OpenRenewal = { ask: { type: 'renew', id: this.#nextId++, renewal, version }, address, asks: 0, timer: undefined, settle: resolve }
      this.#open = open
      this.#ask(open)
    })
    this.#open = undefined
    if (answer && answer.verdict !== 'failed') return answer
    this.#avoidedUntilMs = clock.readMonotonic() + avoidMs
    return undefined
  }

  receiveReply (reply: RenewalReply): void {
    const open = this.#open
    if (!open || open.ask.id !== reply.id) return
    open.timer?.cancel()
    if (reply.type === 'renewed') open.settle(reply)
    else open.timer = this.#options.clock.setTimer(() => open.settle(undefined), reply.inMs + writeMarginMs)
  }

  stop (): void {
    this.#open?.timer?.cancel()
    this.#open?.settle(undefined)
  }

  #ask (open: OpenRenewal): void {
    open.asks++
    open.timer = this.#options.clock.setTimer(() => {
      if (open.asks < maxAsks) this.#ask(open)
      else open.settle(undefined)
    }, answerTimeoutMs)
    this.#options.send(open.address, open.ask)
  }
}
