/** Asks the owners of endpoints for places, and tells them what became of each. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { Datagrams } from '../../ports/datagrams.js'
import type { DeskLoad, Held, HostMessage, Leaving, Placed, PlaceAnswer, PlaceAsk, PlaceDone, PlaceOutcome } from '../../schemas/datagram.js'

export interface PlaceClientOptions {
  clock: Clock
  datagrams: Datagrams
  ownAddress: string
  /** Hands a message to this host's own desks. */
  deliverLocally: (message: HostMessage) => void
}

/** What an ask is for. */
export type AskDetails = Omit<PlaceAsk, 'type' | 'id'>

export type AskOutcome =
  | { readonly kind: 'granted', readonly load: DeskLoad, readonly waitedMs: number, readonly version: number, readonly place: Place }
  | {
    readonly kind: 'refused'
    readonly code: string
    readonly message: string
    readonly retryAfterMs: number
    /** When the request would start there after all; -1 where it would not. */
    readonly expectedMs: number
    readonly load: DeskLoad | undefined
    /** Another engine that took the adapter's requests of late. */
    readonly elsewhere: string | undefined
  }
  /** The owner does not answer: it, or the way to it, is gone. */
  | { readonly kind: 'silent' }

/** A place that was granted; to be ended once. */
export interface Place {
  end: (outcome: PlaceOutcome, firstPartMs: number) => void
}

export interface PendingAsk {
  readonly outcome: Promise<AskOutcome>
  withdraw: () => void
}

/** An owner answers within a round trip of 2 ms and a turn of its event loop; a lost datagram costs this much. */
const answerTimeoutMs = 40
/** Asks that get no answer before the owner counts as silent. */
const maxAsks = 3
/** Beyond the time that the owner expects; the grant itself may have been lost. */
const grantMarginMs = 60
/** Time between two tellings of an outcome that was not confirmed. */
const repeatDoneMs = 150
const maxDoneTries = 8
/** Time until what runs is told to a new owner once more. */
const repeatHeldMs = 120
/** Requests in one message about what runs; each takes some 60 bytes. */
const maxHeld = 16

interface OpenAsk {
  ask: PlaceAsk
  address: string
  tries: number
  timer: Timer | undefined
  settle: (outcome: AskOutcome) => void
}

interface OpenDone {
  done: PlaceDone
  address: string
  tries: number
}

export class PlaceClient {
  #options: PlaceClientOptions
  #asks = new Map<number, OpenAsk>()
  #dones = new Map<number, OpenDone>()
  /** Requests that run, with the owner that counts each; the address is empty where none does. */
  #held = new Map<number, OpenAsk>()
  #nextId = 1
  #repeat: Timer | undefined

  constructor (options: PlaceClientOptions) {
    this.#options = options
  }

  /** Asks the host at `address` for a place at an endpoint that it owns. */
  ask (address: string, details: AskDetails): PendingAsk {
    const id = this.#nextId++
    const open: OpenAsk = { ask: { type: 'ask', id, ...details }, address, tries: 0, timer: undefined, settle: () => {} }
    const outcome = new Promise<AskOutcome>(resolve => {
      open.settle = result => {
        open.timer?.cancel()
        this.#asks.delete(id)
        resolve(result)
      }
    })
    this.#asks.set(id, open)
    this.#sendAsk(open)
    return {
      outcome,
      withdraw: () => {
        if (!this.#asks.has(id)) return
        this.#endPlace(open, 'withdrawn', -1)
        open.settle({ kind: 'silent' })
      }
    }
  }

  /** Takes a place at an endpoint without its owner's word; `address` is empty where there is none. */
  hold (address: string, details: AskDetails): Place {
    const id = this.#nextId++
    const open: OpenAsk = { ask: { type: 'ask', id, ...details }, address, tries: 0, timer: undefined, settle: () => {} }
    this.#held.set(id, open)
    if (address !== '') this.#tellHeld(address, details.endpointId, [open])
    return this.#createPlace(open)
  }

  /** An endpoint has another owner, or none: the next one is told what runs there. */
  receiveOwner (endpointId: string, address: string): void {
    const moved = [...this.#held.values()].filter(open => open.ask.endpointId === endpointId && open.address !== address)
    for (const open of moved) open.address = address
    if (address === '' || moved.length === 0) return
    this.#tellHeld(address, endpointId, moved)
    // Told twice, as either datagram may be lost.
    this.#options.clock.setTimer(() => {
      this.#tellHeld(address, endpointId, moved.filter(open => open.address === address && this.#held.has(open.ask.id)))
    }, repeatHeldMs)
  }

  /** Tells the owner of an adapter's home where a request went; nothing depends on its arrival. */
  tellPlaced (address: string, placed: Placed): void {
    this.#send(address, placed)
  }

  /** Tells the owner of an engine that it leaves; later signs tell it again where this is lost. */
  tellLeaving (address: string, leaving: Leaving): void {
    this.#send(address, leaving)
  }

  /** Ends what waits for a place at an endpoint, so that it looks for another one. */
  withdrawFrom (endpointId: string, message: string): void {
    for (const open of [...this.#asks.values()]) {
      if (open.ask.endpointId !== endpointId) continue
      this.#endPlace(open, 'withdrawn', -1)
      open.settle({ kind: 'refused', code: 'endpoint_leaving', message, retryAfterMs: 0, expectedMs: -1, load: undefined, elsewhere: undefined })
    }
  }

  receiveAnswer (answer: PlaceAnswer): void {
    const open = this.#asks.get(answer.id)
    if (!open) return
    if (answer.type === 'queued') {
      open.tries = 0
      this.#waitFor(open, answer.expectedMs + grantMarginMs)
    } else if (answer.type === 'grant') {
      this.#held.set(open.ask.id, open)
      open.settle({ kind: 'granted', load: answer.load, waitedMs: answer.waitedMs, version: answer.version, place: this.#createPlace(open) })
    } else {
      const { code, message, retryAfterMs, expectedMs, load, elsewhere } = answer
      open.settle({ kind: 'refused', code, message, retryAfterMs, expectedMs, load, elsewhere })
    }
  }

  receiveConfirmation (ids: readonly number[]): void {
    for (const id of ids) this.#dones.delete(id)
  }

  stop (): void {
    this.#repeat?.cancel()
    for (const open of [...this.#asks.values()]) open.settle({ kind: 'silent' })
  }

  #sendAsk (open: OpenAsk): void {
    open.tries++
    this.#send(open.address, open.ask)
    if (this.#asks.has(open.ask.id)) this.#waitFor(open, answerTimeoutMs)
  }

  #waitFor (open: OpenAsk, delayMs: number): void {
    open.timer?.cancel()
    open.timer = this.#options.clock.setTimer(() => {
      if (open.tries < maxAsks) this.#sendAsk(open)
      else {
        this.#endPlace(open, 'withdrawn', -1)
        open.settle({ kind: 'silent' })
      }
    }, delayMs)
  }

  #createPlace (open: OpenAsk): Place {
    return { end: (outcome, firstPartMs) => this.#endPlace(open, outcome, firstPartMs) }
  }

  #tellHeld (address: string, endpointId: string, opens: readonly OpenAsk[]): void {
    for (let start = 0; start < opens.length; start += maxHeld) {
      const places: Held['places'] = opens.slice(start, start + maxHeld)
        .map(({ ask: { id, model, adapter, version, leavesInMs } }) => ({ id, model, adapter, version, leavesInMs }))
      this.#send(address, { type: 'held', endpointId, places })
    }
  }

  #endPlace ({ ask, address }: OpenAsk, outcome: PlaceOutcome, firstPartMs: number): void {
    this.#held.delete(ask.id)
    if (address === '') return
    const done: PlaceDone = { type: 'done', id: ask.id, endpointId: ask.endpointId, outcome, firstPartMs }
    if (address !== this.#options.ownAddress) {
      this.#dones.set(ask.id, { done, address, tries: 1 })
      this.#repeat ??= this.#options.clock.setTimer(() => this.#repeatDones(), repeatDoneMs)
    }
    this.#send(address, done)
  }

  #repeatDones (): void {
    this.#repeat = undefined
    for (const [id, open] of this.#dones) {
      if (++open.tries > maxDoneTries) this.#dones.delete(id)
      else this.#send(open.address, open.done)
    }
    if (this.#dones.size > 0) this.#repeat = this.#options.clock.setTimer(() => this.#repeatDones(), repeatDoneMs)
  }

  #send (address: string, message: HostMessage): void {
    if (address === this.#options.ownAddress) this.#options.deliverLocally(message)
    else this.#options.datagrams.send(address, message)
  }
}
