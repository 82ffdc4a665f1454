/** Messages between hosts over UDP. */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { pack, unpack } from 'msgpackr'
import type { EventLog } from '../../ports/eventLog.js'
import type { Datagrams, ReceiveMessage } from '../../ports/datagrams.js'
import { datagramSchema } from '../../schemas/datagram.js'
import type { HostMessage } from '../../schemas/datagram.js'

export interface UdpDatagramsOptions {
  address: string
  /** The same on all hosts. */
  port: number
  host: string
  session: string
  log: EventLog
}

/** Messages in one datagram; 8 asks take some 1,400 bytes, which fits a packet of Ethernet. */
const maxMessages = 8
const datagramCheck = TypeCompiler.Compile(datagramSchema)

/**
 * Binds the port for messages between hosts.
 *
 * @example
 * const datagrams = await openUdpDatagrams({ address: '10.1.0.38', port: 7380, host: 'front-1', session, log })
 */
export async function openUdpDatagrams (options: UdpDatagramsOptions): Promise<Datagrams> {
  // Addresses are numbers: without a lookup what is sent last leaves before the socket closes.
  const socket = createSocket({ type: 'udp4', lookup: (address, _options, receiveAddress) => receiveAddress(null, address, 4) })
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
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

  /** A host that ends may still have timers that answer somebody; nobody waits for those answers. */
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
      for (let start = 0; start < messages.length; start += maxMessages) {
        const bytes = pack({ host, session, messages: messages.slice(start, start + maxMessages) })
        this.#socket.send(bytes, port, address, error => {
          if (error) log.record('peers.notSent', 'Messages to a host were not sent.', { address, error: error.message })
        })
      }
    }
    this.#outgoing.clear()
  }

  #receiveBytes (bytes: Buffer, address: string): void {
    const datagram = decodeDatagram(bytes)
    if (!datagramCheck.Check(datagram)) {
      this.#options.log.record('peers.unreadable', 'Dropped a datagram that cannot be read.', { address })
      return
    }
    const sender = { host: datagram.host, session: datagram.session, address }
    for (const message of datagram.messages) this.#receiveMessage(message, sender)
  }
}

function decodeDatagram (bytes: Buffer): unknown {
  try {
    return unpack(bytes)
  } catch {
    // Not one of ours; reported by the caller.
    return undefined
  }
}
