/** Delays the first reads of connections that arrive in a crowd, so that an ordinary one among them is accepted and read soon. */
import type { Socket } from 'node:net'
import { FirstReadOrder } from '../../core/firstReadOrder.js'
import type { Clock, Timer } from '../../ports/clock.js'

export interface FirstReadsOptions {
  clock: Clock
  /** Counts bytes that wait in the socket of a connection; negative once they are passed on. */
  hold: (socket: Socket, bytes: number) => void
  /** Passes a connection on to the server, which reads it from then on. */
  deliver: (socket: Socket) => void
}

/** Connections in successive turns of the event loop that are passed on at once, and of those the ones that may not have sent anything yet. */
const maxDirectConnections = 2
/** A few ordinary requests. */
const maxShortBytes = 8192
/** Short connections that are passed on in one turn of the event loop. */
const maxShortPerTurn = 4
/** Connections that have sent nothing by then are left to the server, which has time-outs for them. */
const maxSilentMs = 1000
/** Turns in which connections are accepted after which a longer first read has its turn all the same. */
const maxAcceptingTurns = 128

interface Waiting {
  heldBytes: number
  silence: Timer
  receiveReadable: () => void
  receiveClose: () => void
  receiveError: () => void
}

/**
 * Node.js accepts one connection in a turn of the event loop, so that each read of another connection delays those that wait to be accepted.
 * In a crowd, new connections are accepted first. Their bytes stay in their sockets, which read no more than a buffer; those with few bytes are
 * passed on at once, and the others one at a time, with as much time between them as their reads take.
 *
 * @example
 * const firstReads = new FirstReads({ clock, hold: (socket, bytes) => shares.get(socket)?.add(bytes), deliver: socket => accept(socket) })
 * firstReads.receive(socket)
 */
export class FirstReads {
  #options: FirstReadsOptions
  #order = new FirstReadOrder<Socket>(maxShortBytes)
  #waiting = new Map<Socket, Waiting>()
  /** Connections that were passed on at once, until their first bytes are known to have been read. */
  #unread = new Set<Socket>()
  /** Connections whose bytes that waited are being read. */
  #passing = new Set<Socket>()
  /** When the first bytes of a connection that waited were seen, in monotonic milliseconds. */
  #arrivedAtMs = new WeakMap<Socket, number>()
  /** Connections accepted since the last turn, and in all successive turns before it. */
  #accepted = 0
  #burst = 0
  #acceptingTurns = 0
  #isScheduled = false
  /** When a longer first read was passed on in the turn before. */
  #longReadAtMs: number | undefined
  #rest: Timer | undefined

  constructor (options: FirstReadsOptions) {
    this.#options = options
  }

  receive (socket: Socket): void {
    this.#accepted++
    this.#burst++
    this.#schedule()
    if (!this.#canPassOnAtOnce()) {
      this.#wait(socket)
      return
    }
    this.#unread.add(socket)
    this.#options.deliver(socket)
  }

  /** Whether connections wait to be accepted, so that long reads are put off; false in some turns of a crowd that goes on. */
  get isCrowded (): boolean {
    return this.#burst > maxDirectConnections && this.#acceptingTurns % maxAcceptingTurns !== 0
  }

  #canPassOnAtOnce (): boolean {
    if (this.#waiting.size > 0 || this.#burst > maxDirectConnections) return false
    if (this.#unread.size < maxDirectConnections) return true
    for (const socket of this.#unread) if (socket.destroyed || socket.bytesRead > 0) this.#unread.delete(socket)
    return this.#unread.size < maxDirectConnections
  }

  /** When the first bytes of the connection arrived, in monotonic milliseconds; undefined if it did not wait, or for its later requests. */
  takeArrival (socket: Socket): number | undefined {
    const arrivedAtMs = this.#arrivedAtMs.get(socket)
    this.#arrivedAtMs.delete(socket)
    return arrivedAtMs
  }

  /** Whether bytes are being read that waited in the socket, where Node.js cannot go on behind a request that asks for another protocol. */
  isPassing (socket: Socket): boolean {
    return this.#passing.has(socket)
  }

  /** Passes on all connections that wait. */
  flush (): void {
    for (const socket of this.#waiting.keys()) this.#pass(socket)
  }

  #wait (socket: Socket): void {
    const waiting: Waiting = {
      heldBytes: 0,
      silence: this.#options.clock.setTimer(() => this.#pass(socket), maxSilentMs),
      receiveReadable: () => {
        waiting.silence.cancel()
        this.#arrivedAtMs.set(socket, this.#options.clock.readMonotonic())
        // The caller has ended its side.
        if (socket.readableLength === 0) this.#pass(socket)
        else this.#queue(socket, waiting)
        this.#schedule()
      },
      receiveClose: () => this.#forget(socket),
      // The close that follows is handled.
      receiveError: () => {}
    }
    this.#waiting.set(socket, waiting)
    socket.once('readable', waiting.receiveReadable)
    socket.once('close', waiting.receiveClose)
    socket.on('error', waiting.receiveError)
  }

  #queue (socket: Socket, waiting: Waiting): void {
    waiting.heldBytes = socket.readableLength
    this.#order.add(socket, waiting.heldBytes)
    // The connection may be closed by this, as the one that holds most.
    this.#options.hold(socket, waiting.heldBytes)
  }

  #forget (socket: Socket): void {
    const waiting = this.#waiting.get(socket)
    if (!waiting) return
    this.#waiting.delete(socket)
    this.#order.remove(socket)
    waiting.silence.cancel()
    socket.off('readable', waiting.receiveReadable)
    socket.off('close', waiting.receiveClose)
  }

  #pass (socket: Socket): void {
    const waiting = this.#waiting.get(socket)
    this.#forget(socket)
    if (socket.destroyed) return
    if (waiting) this.#options.hold(socket, -waiting.heldBytes)
    this.#passing.add(socket)
    this.#options.deliver(socket)
    // The socket hands its bytes over in the ticks that follow.
    setImmediate(() => setImmediate(() => this.#passing.delete(socket)))
    if (waiting) socket.off('error', waiting.receiveError)
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      this.#runTurn()
    })
  }

  #runTurn (): void {
    const isAccepting = this.#accepted > 0
    this.#accepted = 0
    this.#acceptingTurns = isAccepting ? this.#acceptingTurns + 1 : 0
    if (!isAccepting) this.#burst = 0
    this.#delayAfterLongRead()
    for (let count = 0; count < maxShortPerTurn; count++) {
      const short = this.#order.takeShort()
      if (!short) break
      this.#pass(short)
    }
    const isLongDue = !this.#rest && (!isAccepting || !this.isCrowded)
    const long = isLongDue ? this.#order.takeAny() : undefined
    if (long) {
      this.#longReadAtMs = this.#options.clock.readMonotonic()
      this.#pass(long)
    }
    if (isAccepting || long || (this.#order.size > 0 && !this.#rest)) this.#schedule()
  }

  /** Leaves as much time to everything else as the last longer read took. */
  #delayAfterLongRead (): void {
    if (this.#longReadAtMs === undefined) return
    const { clock } = this.#options
    const tookMs = clock.readMonotonic() - this.#longReadAtMs
    this.#longReadAtMs = undefined
    this.#rest = clock.setTimer(() => {
      this.#rest = undefined
      this.#schedule()
    }, tookMs)
  }
}
