/** Messages between hosts over UDP, encoded with MessagePack. */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { pack, unpack } from 'msgpackr'
import type { EventLog } from '../../ports/eventLog.js'
import type { Datagrams, ReceiveMessage } from '../../ports/datagrams.js'
import { datagramSchema, hostMessageSchema } from '../../schemas/datagram.js'
import type { HostMessage } from '../../schemas/datagram.js'

export interface UdpDatagramsOptions {
  address: string
  /** UDP port, the same on all hosts. */
  port: number
  host: string
  session: string
  log: EventLog
}

/** Maximum messages in one datagram. 8 reservation requests take about 1,400 bytes, which fits into one Ethernet frame. */
const maxMessagesPerDatagram = 8
const datagramValidator = TypeCompiler.Compile(datagramSchema)
const messageValidator = TypeCompiler.Compile(hostMessageSchema)

/**
 * Binds the UDP port for messages between hosts. Rejects where the port cannot be bound.
 *
 * @example
 * const datagrams = await openUdpDatagrams({ address: '10.1.0.38', port: 7380, host: 'host-1', session, log })
 */
export async function openUdpDatagrams (options: UdpDatagramsOptions): Promise<Datagrams> {
  // All addresses are IP addresses. Without an asynchronous lookup, the last messages are sent before the socket closes.
  const socket = createSocket({ type: 'udp4', lookup: (address, _options, receiveAddress) => receiveAddress(null, address, 4) })
  await new Promise<void>((resolve, reject) => {
    socket.once('error', error => {
      socket.close()
      reject(error)
    })
    socket.bind(options.port, options.address, () => resolve())
  })
  return new UdpDatagrams(socket, options)
}

class UdpDatagrams implements Datagrams {
  #socket: Socket
  #options: UdpDatagramsOptions
  #receiveMessage: ReceiveMessage = () => {}
  #isClosed = false
  #outgoing = new Map<string, HostMessage[]>()

  constructor (socket: Socket, options: UdpDatagramsOptions) {
    this.#socket = socket
    this.#options = options
    socket.removeAllListeners('error')
    socket.on('error', error => options.log.record('peers.socketFailed', 'The socket for messages between hosts failed.', { error: error.message }))
    socket.on('message', (bytes, { address }) => this.#receiveBytes(bytes, address))
  }

  /** Drops messages after `close`: timers of a stopping host can still send replies, for which nobody waits. */
  send (address: string, message: HostMessage): void {
    if (this.#isClosed) return
    if (this.#outgoing.size === 0) setImmediate(() => this.#flush())
    const messages = this.#outgoing.get(address)
    if (messages) messages.push(message)
    else this.#outgoing.set(address, [message])
  }

  receive (receiveMessage: ReceiveMessage): void {
    this.#receiveMessage = receiveMessage
  }

  close (): void {
    this.#flush()
    this.#isClosed = true
    this.#socket.close()
  }

  #flush (): void {
    const { host, session, port, log } = this.#options
    for (const [address, messages] of this.#outgoing) {
      for (const batch of splitMessages(messages)) {
        const bytes = pack({ host, session, messages: batch })
        this.#socket.send(bytes, port, address, error => {
          if (error) log.record('peers.notSent', 'Could not send messages to a host.', { address, error: error.message })
        })
      }
    }
    this.#outgoing.clear()
  }

  #receiveBytes (bytes: Buffer, address: string): void {
    const datagram = decodeDatagram(bytes)
    if (!datagramValidator.Check(datagram)) {
      this.#options.log.record('peers.unreadable', 'Dropped an invalid datagram.', { address })
      return
    }
    const sender = { host: datagram.host, session: datagram.session, address }
    for (const message of datagram.messages) {
      if (messageValidator.Check(message)) this.#receiveMessage(message, sender)
      else this.#options.log.record('peers.unreadable', 'Dropped an invalid message of a host.', { address, host: sender.host })
    }
  }
}

/** Hosts of earlier versions drop a datagram as a whole if they do not know one of its messages, so these go apart from the others. */
function splitMessages (messages: readonly HostMessage[]): HostMessage[][] {
  const batches: HostMessage[][] = []
  for (const isQuota of [false, true]) {
    const kind = messages.filter(({ type }) => type.startsWith('quota') === isQuota)
    for (let start = 0; start < kind.length; start += maxMessagesPerDatagram) batches.push(kind.slice(start, start + maxMessagesPerDatagram))
  }
  return batches
}

function decodeDatagram (bytes: Buffer): unknown {
  try {
    return unpack(bytes)
  } catch {
    // Not valid MessagePack; the caller logs the datagram as invalid.
    return undefined
  }
}
