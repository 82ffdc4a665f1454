/** Dispatches messages between hosts to the parts of this host that they are for, and pings other hosts. */
import type { HeldLease } from '../../core/leaseWitnesses.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Datagrams, DatagramSender } from '../../ports/datagrams.js'
import type { EndpointLimitStatement, HostMessage, Ping, QuotaMessage, ReservationReply, RenewalRequest, RenewalReply, SuspectMessage } from '../../schemas/datagram.js'
import type { StreamRecords, StreamRecordsSaved } from '../../schemas/streamRows.js'

export interface PeerTaskOptions {
  clock: Clock
  datagrams: Datagrams
  own: { address: string, host: string, session: string }
  getStoreAgeMs: () => number
  /** Milliseconds since this host's view last matched the store. */
  getViewAgeMs: () => number
  /** Whether this host, as a witness, confirms an outage of the store to the owner of a lease; `storeAgeMs` as it reports it. */
  confirmOutage: (lease: HeldLease, storeAgeMs: number) => boolean
  /** Whether this host, as a witness, confirms that a lease has expired. */
  confirmExpiry: (lease: HeldLease, storeAgeMs: number) => boolean
  /** Lists the software versions of a service that this host knows. */
  listServiceVersions: (service: string) => string[] | undefined
  /** Passes a reservation message (request, release, report) to the allocators; `answer` sends a reply to its sender. */
  receiveAllocationMessage: (message: HostMessage, sender: DatagramSender, answer: (message: ReservationReply) => void) => void
  /** Receives an owner's reply to a reservation request of this host. */
  receiveReservationReply: (answer: ReservationReply) => void
  /** Receives the ids of releases (`done`) that their owner has confirmed. */
  receiveReleaseConfirmation: (ids: readonly number[]) => void
  /** Receives another host's renewal, to be written to the store together with others. */
  receiveRenewal: (renewal: RenewalRequest, sender: DatagramSender, answer: (reply: RenewalReply) => void) => void
  receiveRenewalReply: (reply: RenewalReply) => void
  receiveSuspectMessage: (message: SuspectMessage) => void
  /** Receives what another host knows of an endpoint's limit. */
  receiveLimitStatement: (endpointId: string, statement: EndpointLimitStatement) => void
  /** Receives records of streams that this host is to write; `reply` sends the confirmation. */
  receiveStreamRecords: (records: StreamRecords, reply: (saved: StreamRecordsSaved) => void) => void
  receiveStreamsSaved: (saved: StreamRecordsSaved) => void
  receiveQuotaMessage: (message: QuotaMessage, sender: DatagramSender) => void
}

/** What a ping asks for besides a reply. */
export interface PingQuestion {
  /** A service whose software versions are asked for. */
  readonly service?: string
  /** The last confirmed renewal of this host, for which the other one is to confirm an outage of the store. */
  readonly outage?: { readonly renewal: number }
  /** A lease of which the other host is to confirm that it has expired. */
  readonly expiry?: HeldLease
}

/** A host's reply to a ping. */
export interface HostPingReply {
  readonly session: string
  /** Milliseconds since it last had state of the store, or since its start if it never had; undefined where it has just started. */
  readonly storeAgeMs: number | undefined
  /** Software versions of the service that was asked for; undefined if none was, or if the host cannot say. */
  readonly softwareVersions: readonly string[] | undefined
  /** Milliseconds since its view last matched the store; undefined if no versions were asked for, or if it never did. */
  readonly viewAgeMs: number | undefined
  readonly confirmsOutage: boolean
  readonly confirmsExpiry: boolean
}

/** A host that replies to none of `pingCount` pings, sent at equal intervals within this time, counts as not running. */
const pingTimeoutMs = 250
const pingCount = 3
/** Sent as the store's age by a host that has never reached it and has started too recently to report it as unavailable. */
const unknownAgeMs = 1e9
/**
 * A host that has never reached the store reports its uptime as the store's age only after this time; running hosts take as long
 * to consider the store unavailable.
 */
const minUptimeMs = 1400

export class PeerTask {
  #options: PeerTaskOptions
  #pendingPings = new Map<number, (state: HostPingReply | undefined) => void>()
  #nextEcho = 1
  #lastMessageAtMs: number
  #startedAtMs: number

  constructor (options: PeerTaskOptions) {
    this.#options = options
    this.#startedAtMs = options.clock.readMonotonic()
    this.#lastMessageAtMs = this.#startedAtMs
    options.datagrams.receive((message, sender) => {
      this.#lastMessageAtMs = options.clock.readMonotonic()
      this.#receive(message, sender)
    })
  }

  /** When the last message from a peer was received, or when this task was created if there was none. */
  get lastMessageAtMs (): number {
    return this.#lastMessageAtMs
  }

  /** Passes a message to this host's own allocators, without the network. */
  deliverLocally (message: HostMessage): void {
    this.#options.receiveAllocationMessage(message, this.#options.own, answer => this.#options.receiveReservationReply(answer))
  }

  /** Sends this host's renewal to the renewal collector, which may be this host. */
  sendRenewal (address: string, renewal: RenewalRequest): void {
    const { own, datagrams, receiveRenewal, receiveRenewalReply } = this.#options
    if (address === own.address) receiveRenewal(renewal, own, receiveRenewalReply)
    else datagrams.send(address, renewal)
  }

  /** Pings the host at an IP address, and asks it a question if there is one; undefined where it does not reply. */
  async pingHost (address: string, question: PingQuestion = {}): Promise<HostPingReply | undefined> {
    const { clock, datagrams } = this.#options
    const echo = this.#nextEcho++
    return await new Promise<HostPingReply | undefined>(resolve => {
      let timer: Timer | undefined
      let sentCount = 0
      const settle = (state: HostPingReply | undefined): void => {
        if (!this.#pendingPings.delete(echo)) return
        timer?.cancel()
        resolve(state)
      }
      const sendNext = (): void => {
        if (sentCount === pingCount) {
          settle(undefined)
          return
        }
        sentCount++
        datagrams.send(address, { type: 'ping', echo, ...question })
        timer = clock.setTimer(sendNext, pingTimeoutMs / pingCount)
      }
      this.#pendingPings.set(echo, settle)
      sendNext()
    })
  }

  #computeReportedAgeMs (): number {
    const ageMs = this.#options.getStoreAgeMs()
    const uptimeMs = this.#options.clock.readMonotonic() - this.#startedAtMs
    if (Number.isFinite(ageMs)) return ageMs
    return uptimeMs > minUptimeMs ? uptimeMs : unknownAgeMs
  }

  #answerPing ({ echo, service, outage, expiry }: Ping, { host, session, address }: DatagramSender): void {
    const { datagrams, own, confirmOutage, confirmExpiry, listServiceVersions, getViewAgeMs } = this.#options
    const storeAgeMs = this.#computeReportedAgeMs()
    const softwareVersions = service === undefined ? undefined : listServiceVersions(service)
    const viewAgeMs = getViewAgeMs()
    // A host that has just started can tell neither that the store responds nor that it doesn't.
    const isAgeKnown = storeAgeMs !== unknownAgeMs
    datagrams.send(address, {
      type: 'pong',
      echo,
      session: own.session,
      storeAgeMs,
      ...(softwareVersions && { softwareVersions }),
      ...(softwareVersions && Number.isFinite(viewAgeMs) && { viewAgeMs }),
      ...(isAgeKnown && outage && confirmOutage({ host, session, ...outage }, storeAgeMs) && { confirmsOutage: true }),
      ...(isAgeKnown && expiry && confirmExpiry(expiry, storeAgeMs) && { confirmsExpiry: true })
    })
  }

  #receive (message: HostMessage, sender: DatagramSender): void {
    const {
      datagrams, receiveAllocationMessage, receiveReservationReply, receiveReleaseConfirmation,
      receiveRenewal, receiveRenewalReply
    } = this.#options
    if (message.type === 'ask' || message.type === 'done' || message.type === 'placed' || message.type === 'held' || message.type === 'leaving') {
      if (message.type === 'ask' && message.limit) this.#options.receiveLimitStatement(message.endpointId, message.limit)
      receiveAllocationMessage(message, sender, answer => datagrams.send(sender.address, answer))
      if (message.type === 'done') datagrams.send(sender.address, { type: 'doneReceived', ids: [message.id] })
    } else if (message.type === 'doneReceived') {
      receiveReleaseConfirmation(message.ids)
    } else if (message.type === 'ping') {
      this.#answerPing(message, sender)
    } else if (message.type === 'pong') {
      const { session, storeAgeMs, softwareVersions, viewAgeMs, confirmsOutage = false, confirmsExpiry = false } = message
      this.#pendingPings.get(message.echo)?.({ session, storeAgeMs: storeAgeMs === unknownAgeMs ? undefined : storeAgeMs, softwareVersions, viewAgeMs, confirmsOutage, confirmsExpiry })
    } else if (message.type === 'limit') {
      this.#options.receiveLimitStatement(message.endpointId, message)
    } else if (message.type === 'streams') {
      this.#options.receiveStreamRecords(message, saved => datagrams.send(sender.address, saved))
    } else if (message.type === 'streamsSaved') {
      this.#options.receiveStreamsSaved(message)
    } else if (message.type === 'suspect') {
      this.#options.receiveSuspectMessage(message)
    } else if (message.type === 'renew') {
      receiveRenewal(message, sender, reply => datagrams.send(sender.address, reply))
    } else if (message.type === 'renewed' || message.type === 'renewalQueued') {
      receiveRenewalReply(message)
    } else if (message.type === 'quotaReport' || message.type === 'quotaGrant' || message.type === 'quotaAlive' || message.type === 'quotaAliveReceived') {
      this.#options.receiveQuotaMessage(message, sender)
    } else {
      receiveReservationReply(message)
    }
  }
}
