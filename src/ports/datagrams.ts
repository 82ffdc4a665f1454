/** Sends small messages between hosts; a message may be lost, duplicated or reordered. */
import type { HostMessage } from '../schemas/datagram.js'

export interface DatagramSender {
  readonly host: string
  readonly session: string
  readonly address: string
}

export type ReceiveMessage = (message: HostMessage, sender: DatagramSender) => void

export interface Datagrams {
  /** Sends to the host at an IP address; messages sent in one turn of the event loop are packed into shared datagrams. */
  send: (address: string, message: HostMessage) => void
  receive: (receiveMessage: ReceiveMessage) => void
  close: () => void
}
