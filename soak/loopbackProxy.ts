/** A TCP proxy on loopback that does to a link what networks do. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createSystemClock } from '../src/adapters/clock/systemClock.js'
import { listenOn, openPort } from '../src/adapters/tcp/openPort.js'
import { computeProcessAddress } from '../src/standin/fleet/processAddress.js'

/**
 * `delayed`: bytes come late, in both directions; `silent`: none pass until the fault ends; `cutUp`, `cutDown`: none pass
 * towards the server, or from it; `reset`: connections are reset, and so is each new one.
 */
export type LinkFault = 'none' | 'delayed' | 'silent' | 'cutUp' | 'cutDown' | 'reset'

type Direction = 'up' | 'down'

/** Sockets of this process may have the port meanwhile. */
const maxPortWaitMs = 30_000
/** In each direction; beyond the 45 ms after which a first order is repeated, and below the 500 ms of a report. */
const delayMs = 250
const heldDirections: Partial<Record<LinkFault, readonly Direction[]>> = { silent: ['up', 'down'], cutUp: ['up'], cutDown: ['down'] }

export class LoopbackProxy {
  readonly address: string
  #server: Server
  #target: string
  #fault: LinkFault = 'none'
  #links = new Set<Link>()

  private constructor (server: Server, target: string) {
    this.#server = server
    this.#target = target
    const { address, port } = server.address() as AddressInfo
    this.address = `${address}:${port}`
    server.on('connection', socket => this.#accept(socket))
  }

  /**
   * Listens on a free port and forwards to `ip:port`. The port is one of this process's own address, as another process that got it while
   * the proxy refuses connections would answer in its place.
   */
  static async start (target: string): Promise<LoopbackProxy> {
    const server = createServer({ allowHalfOpen: true })
    await new Promise<void>(resolve => server.listen(0, computeProcessAddress(), resolve))
    return new LoopbackProxy(server, target)
  }

  setFault (fault: LinkFault): void {
    this.#fault = fault
    for (const link of this.#links) {
      if (fault === 'reset') link.reset()
      else link.wake()
    }
  }

  /** Refuses new connections, or takes them again; open ones are not affected. */
  async setRefusing (isRefusing: boolean): Promise<void> {
    if (isRefusing === !this.#server.listening) return
    // The server closes once its open connections have ended, but refuses new ones at once.
    if (isRefusing) this.#server.close()
    else await openPort(async () => await this.#listenAgain(), { name: 'proxy', address: this.address, clock: createSystemClock(), log: { record: () => {} }, signal: new AbortController().signal, maxWaitMs: maxPortWaitMs })
  }

  async stop (): Promise<void> {
    for (const link of this.#links) link.reset()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }

  async #listenAgain (): Promise<void> {
    const server = createServer({ allowHalfOpen: true })
    server.on('connection', socket => this.#accept(socket))
    await listenOn(server, this.address)
    this.#server = server
  }

  #accept (caller: Socket): void {
    if (this.#fault === 'reset') {
      caller.on('error', () => {})
      caller.resetAndDestroy()
      return
    }
    const [host, port] = this.#target.split(':')
    const link: Link = new Link(caller, connect({ host, port: Number(port), allowHalfOpen: true }), () => this.#fault, () => this.#links.delete(link))
    this.#links.add(link)
  }
}

/** `resetAndDestroy` ends the stream in order before it resets the connection, so that a response without a length looks whole. */
function resetAtOnce (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}

interface HeldChunk {
  /** Undefined for the end of the stream. */
  bytes: Buffer | undefined
  dueAtMs: number
}

/** One connection through the proxy; bytes that are held back keep their order. */
class Link {
  #caller: Socket
  #server: Socket
  #readFault: () => LinkFault
  #held: Record<Direction, HeldChunk[]> = { up: [], down: [] }

  constructor (caller: Socket, server: Socket, readFault: () => LinkFault, receiveClose: () => void) {
    this.#caller = caller
    this.#server = server
    this.#readFault = readFault
    this.#forward(caller, server, 'up')
    this.#forward(server, caller, 'down')
    // A connection that broke off on one side breaks off on the other.
    for (const socket of [caller, server]) {
      socket.on('error', () => this.reset())
      socket.on('close', () => {
        if (caller.destroyed && server.destroyed) receiveClose()
      })
    }
  }

  reset (): void {
    for (const socket of [this.#caller, this.#server]) {
      // A reset while the end of the stream is on its way leaves a request that Node never completes, and a process that never ends.
      if (socket.writableEnded) socket.destroy()
      else if (!socket.destroyed) resetAtOnce(socket)
    }
  }

  /** Passes on what is due. */
  wake (): void {
    this.#drain('up', this.#server)
    this.#drain('down', this.#caller)
  }

  #forward (from: Socket, to: Socket, direction: Direction): void {
    const hold = (bytes: Buffer | undefined): void => {
      const waitMs = this.#readFault() === 'delayed' ? delayMs : 0
      this.#held[direction].push({ bytes, dueAtMs: performance.now() + waitMs })
      if (waitMs > 0) setTimeout(() => this.#drain(direction, to), waitMs + 1)
      else this.#drain(direction, to)
    }
    from.on('data', bytes => hold(bytes))
    from.on('end', () => hold(undefined))
  }

  #drain (direction: Direction, to: Socket): void {
    const held = this.#held[direction]
    if (heldDirections[this.#readFault()]?.includes(direction)) return
    while (held.length > 0 && held[0]!.dueAtMs <= performance.now() && !to.destroyed) {
      const { bytes } = held.shift()!
      if (bytes) to.write(bytes)
      else to.end()
    }
  }
}
