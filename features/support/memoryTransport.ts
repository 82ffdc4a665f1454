/** Links between tasks in one process, on a virtual clock. */
import type { PeerLink, PeerLinkEvents, PeerTransport } from '../../src/ports/peerTransport.js'
import type { Clock } from '../../src/ports/clock.js'
import type { PeerMessage } from '../../src/schemas/peerMessage.js'
import { encodeBatch } from '../../src/adapters/peerLink/linkMethod.js'

const delayMs = 1

/** One end of a link. */
class MemoryLink implements PeerLink {
  hostId: string
  other: MemoryLink | undefined
  #transport: MemoryTransport
  #events: PeerLinkEvents
  #isClosed = false

  constructor (transport: MemoryTransport, hostId: string, events: PeerLinkEvents) {
    this.#transport = transport
    this.hostId = hostId
    this.#events = events
  }

  send (message: PeerMessage): void {
    if (this.#isClosed) return
    this.#transport.countBytes(message)
    this.#transport.clock.setTimer(() => this.other?.receive(message), delayMs)
  }

  receive (message: PeerMessage): void {
    if (this.#isClosed) return
    if (message.type === 'hello') this.hostId = message.hostId
    this.#events.receive(this, message)
  }

  close (): void {
    this.finish()
    this.#transport.clock.setTimer(() => this.other?.finish(), delayMs)
  }

  finish (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#events.closed(this)
  }
}

/** Carries messages between those that serve at an address and those that open a link to it. */
export class MemoryTransport implements PeerTransport {
  readonly clock: Clock
  /** Bytes of all messages as they would be encoded, by their type. */
  readonly bytes = new Map<string, number>()
  #servers = new Map<string, PeerLinkEvents>()
  #links = new Map<string, MemoryLink[]>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  serve: PeerTransport['serve'] = async ({ address, port, events }) => {
    const key = `${address}:${port}`
    this.#servers.set(key, events)
    return { port, stop: async () => this.cut(key) }
  }

  open: PeerTransport['open'] = ({ address, hostId, hello, events }) => {
    const near = new MemoryLink(this, hostId, events)
    const serverEvents = this.#servers.get(address)
    if (!serverEvents) {
      this.clock.setTimer(() => near.finish(), delayMs)
      return near
    }
    const far = new MemoryLink(this, '', serverEvents)
    near.other = far
    far.other = near
    this.#links.set(address, [...this.#links.get(address) ?? [], near, far])
    near.send(hello)
    return near
  }

  /** Ends every link to an address, and lets nobody open one. */
  cut (address: string): void {
    this.#servers.delete(address)
    for (const link of this.#links.get(address) ?? []) link.finish()
    this.#links.delete(address)
  }

  countBytes (message: PeerMessage): void {
    this.bytes.set(message.type, (this.bytes.get(message.type) ?? 0) + encodeBatch([message]).length)
  }
}
