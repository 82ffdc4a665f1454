/** Small messages between hosts, which may be lost, doubled or overtaken. */
import type { HostMessage } from '../schemas/datagram.js'

export interface DatagramSender {
  readonly host: string
  readonly session: string
  readonly address: string
}

export type ReceiveMessage = (message: HostMessage, sender: DatagramSender) => void

export interface Datagrams {
  /** Sends to the host at an IP number; messages of one turn of the event loop share a datagram. */
  send: (address: string, message: HostMessage) => void
  receive: (receiveMessage: ReceiveMessage) => void
  close: () => void
}
