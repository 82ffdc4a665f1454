/** Sorts the messages between hosts to those they are for, and finds out whether a host runs. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { Datagrams, DatagramSender } from '../../ports/datagrams.js'
import type { SuspectRecord } from '../../core/suspects.js'
import type { HostMessage, PlaceAnswer, RenewalAsk, RenewalReply } from '../../schemas/datagram.js'

export interface PeerTaskOptions {
  clock: Clock
  datagrams: Datagrams
  own: { address: string, host: string, session: string }
  readStoreAgeMs: () => number
  /** Takes an ask or an outcome to the desks; `answer` goes back to who asked. */
  receiveAtDesk: (message: HostMessage, sender: DatagramSender, answer: (message: PlaceAnswer) => void) => void
  receiveAnswer: (answer: PlaceAnswer) => void
  receiveConfirmation: (ids: readonly number[]) => void
  /** Takes another host's renewal, to be written with others. */
  receiveRenewal: (ask: RenewalAsk, sender: DatagramSender, answer: (reply: RenewalReply) => void) => void
  receiveRenewalReply: (reply: RenewalReply) => void
  receiveSuspect: (record: SuspectRecord) => void
}

/** What a host tells of itself when asked. */
export interface HostState {
  readonly session: string
  /** Milliseconds since the store itself answered it, or since its start where it never did; undefined where it has just started. */
  readonly storeAgeMs: number | undefined
}

/** A host that does not answer one of three questions within this time counts as not running. */
const pingTimeoutMs = 250
const pingCount = 3
/** Told by a host that has not reached the store yet and has started too recently to say that it is away. */
const unknownAgeMs = 1e9
/** Time after which a host that never reached the store may say so; hosts that run take the store for away as late. */
const firstAnswerMs = 1400

export class PeerTask {
  #options: PeerTaskOptions
  #pings = new Map<number, (state: HostState | undefined) => void>()
  #nextPing = 1
  #heardAtMs: number
  #startedAtMs: number

  constructor (options: PeerTaskOptions) {
    this.#options = options
    this.#startedAtMs = options.clock.readMonotonic()
    this.#heardAtMs = this.#startedAtMs
    options.datagrams.receive((message, sender) => {
      this.#heardAtMs = options.clock.readMonotonic()
      this.#receive(message, sender)
    })
  }

  /** When a peer was last heard, or this task began. */
  get heardAtMs (): number {
    return this.#heardAtMs
  }

  /** Hands a message to this host's own desks, without the network. */
  deliverLocally (message: HostMessage): void {
    this.#options.receiveAtDesk(message, this.#options.own, answer => this.#options.receiveAnswer(answer))
  }

  /** Sends this host's renewal to the host that gathers them, which may be this one. */
  sendRenewal (address: string, ask: RenewalAsk): void {
    const { own, datagrams, receiveRenewal, receiveRenewalReply } = this.#options
    if (address === own.address) receiveRenewal(ask, own, receiveRenewalReply)
    else datagrams.send(address, ask)
  }

  /** Asks the host at an IP number how it is; undefined where it does not answer. */
  async askHost (address: string): Promise<HostState | undefined> {
    const { clock, datagrams } = this.#options
    const echo = this.#nextPing++
    return await new Promise<HostState | undefined>(resolve => {
      let timer: Timer | undefined
      let sent = 0
      const settle = (state: HostState | undefined): void => {
        if (!this.#pings.delete(echo)) return
        timer?.cancel()
        resolve(state)
      }
      const sendNext = (): void => {
        if (sent === pingCount) {
          settle(undefined)
          return
        }
        sent++
        datagrams.send(address, { type: 'ping', echo })
        timer = clock.setTimer(sendNext, pingTimeoutMs / pingCount)
      }
      this.#pings.set(echo, settle)
      sendNext()
    })
  }

  #describeStoreAge (): number {
    const ageMs = this.#options.readStoreAgeMs()
    const upMs = this.#options.clock.readMonotonic() - this.#startedAtMs
    if (Number.isFinite(ageMs)) return ageMs
    return upMs > firstAnswerMs ? upMs : unknownAgeMs
  }

  #receive (message: HostMessage, sender: DatagramSender): void {
    const { datagrams, own, receiveAtDesk, receiveAnswer, receiveConfirmation, receiveRenewal, receiveRenewalReply } = this.#options
    if (message.type === 'ask' || message.type === 'done' || message.type === 'placed' || message.type === 'held' || message.type === 'leaving') {
      receiveAtDesk(message, sender, answer => datagrams.send(sender.address, answer))
      if (message.type === 'done') datagrams.send(sender.address, { type: 'doneReceived', ids: [message.id] })
    } else if (message.type === 'doneReceived') {
      receiveConfirmation(message.ids)
    } else if (message.type === 'ping') {
      datagrams.send(sender.address, { type: 'pong', echo: message.echo, session: own.session, storeAgeMs: this.#describeStoreAge() })
    } else if (message.type === 'pong') {
      const { session, storeAgeMs } = message
      this.#pings.get(message.echo)?.({ session, storeAgeMs: storeAgeMs === unknownAgeMs ? undefined : storeAgeMs })
    } else if (message.type === 'suspect') {
      this.#options.receiveSuspect(message)
    } else if (message.type === 'renew') {
      receiveRenewal(message, sender, reply => datagrams.send(sender.address, reply))
    } else if (message.type === 'renewed' || message.type === 'renewalQueued') {
      receiveRenewalReply(message)
    } else {
      receiveAnswer(message)
    }
  }
}
