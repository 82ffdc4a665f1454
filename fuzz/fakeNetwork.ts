/** Peer links between hosts of the fuzzed system; pairs of hosts can be cut off from each other. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { OpenPeerLinkOptions, PeerLink, PeerLinkEvents, PeerServer, PeerTransport, ServePeersOptions } from '../src/ports/peerTransport.js'
import type { PeerMessage } from '../src/schemas/peerMessage.js'
import type { FakeHost } from './fakeHost.js'

const messageDelayMs = 1
const connectFailureDelayMs = 100
const repeatDelayMs = 40
/** A silent peer is noticed after this time, as with the keepalive of the real links. */
const silenceTermMs = 3000

interface Server {
  host: FakeHost
  events: PeerLinkEvents
}

/** One side of a link. */
class FakeLink implements PeerLink {
  hostId = ''
  readonly host: FakeHost
  peer: FakeLink | undefined
  isClosed = false
  #events: PeerLinkEvents
  #network: FakeNetwork

  constructor (network: FakeNetwork, host: FakeHost, events: PeerLinkEvents) {
    this.#network = network
    this.host = host
    this.#events = events
  }

  send (message: PeerMessage): void {
    if (this.isClosed || this.host.state !== 'running') return
    const copy = structuredClone(message)
    this.#network.deliver(() => this.peer?.receive(copy))
    if (message.type === 'answerData' && this.#network.takeRepeat()) {
      this.#network.deliver(() => this.peer?.receive(structuredClone(copy)), repeatDelayMs)
    }
  }

  close (): void {
    if (this.isClosed) return
    this.receiveClosed()
    this.#network.deliver(() => this.peer?.receiveClosed())
  }

  receive (message: PeerMessage): void {
    this.host.run(() => {
      if (this.isClosed) return
      if (message.type === 'hello') this.hostId = message.hostId
      this.#events.receive(this, message)
    })
  }

  receiveClosed (): void {
    this.host.run(() => {
      if (this.isClosed) return
      this.isClosed = true
      this.#events.closed(this)
    })
  }
}

export class FakeNetwork {
  /** Parts of answers that come again, late. */
  messagesToRepeat = 0
  #clock: VirtualClock
  #servers = new Map<string, Server>()
  #links: FakeLink[] = []
  #cuts = new Set<string>()
  #nextPort = 1

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  /** The transport as one host uses it. */
  createTransport (host: FakeHost): PeerTransport {
    host.watchDeath(() => this.#closeLinks(link => link.host === host || link.peer?.host === host))
    return {
      serve: async options => this.#serve(host, options),
      open: options => this.#open(host, options)
    }
  }

  deliver (step: () => void, delayMs = messageDelayMs): void {
    this.#clock.setTimer(step, delayMs)
  }

  takeRepeat (): boolean {
    if (this.messagesToRepeat === 0) return false
    this.messagesToRepeat--
    return true
  }

  /** Cuts two hosts off from each other; their links break. */
  cut (left: string, right: string): void {
    this.#cuts.add(formatPair(left, right))
    this.#closeLinks(link => formatPair(link.host.id, link.peer?.host.id ?? '') === formatPair(left, right))
  }

  heal (): void {
    this.#cuts.clear()
  }

  get hasCuts (): boolean {
    return this.#cuts.size > 0
  }

  isCut (left: string, right: string): boolean {
    return this.#cuts.has(formatPair(left, right))
  }

  /** Peers of a host that stays paused take it for lost. */
  watchPause (host: FakeHost): void {
    this.#clock.setTimer(() => {
      if (host.state === 'paused') this.#closeLinks(link => link.host === host || link.peer?.host === host)
    }, silenceTermMs)
  }

  async #serve (host: FakeHost, options: ServePeersOptions): Promise<PeerServer> {
    const port = this.#nextPort++
    const address = `${options.address}:${port}`
    this.#servers.set(address, { host, events: options.events })
    return { port, stop: async () => { this.#servers.delete(address) } }
  }

  #open (host: FakeHost, options: OpenPeerLinkOptions): PeerLink {
    const near = new FakeLink(this, host, options.events)
    near.hostId = options.hostId
    const server = this.#servers.get(options.address)
    if (!server || server.host.state === 'dead' || this.isCut(host.id, server.host.id)) {
      this.#clock.setTimer(() => near.receiveClosed(), connectFailureDelayMs)
      return near
    }
    const far = new FakeLink(this, server.host, server.events)
    near.peer = far
    far.peer = near
    this.#links.push(near, far)
    near.send(options.hello)
    return near
  }

  #closeLinks (isAffected: (link: FakeLink) => boolean): void {
    const affected = this.#links.filter(isAffected)
    this.#links = this.#links.filter(link => !affected.includes(link))
    for (const link of affected) {
      const { peer } = link
      this.deliver(() => link.receiveClosed())
      // Nothing that is under way arrives any more.
      link.peer = undefined
      if (peer) peer.peer = undefined
    }
  }
}

function formatPair (left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`
}
