/** Links between gateways and schedulers. */
import type { PeerMessage, PeerMessageOf } from '../schemas/peerMessage.js'

/** An open link; messages arrive in the order in which they were sent. */
export interface PeerLink {
  /** Host at the other end; on the accepting side it is empty until the `hello` message arrives. */
  readonly hostId: string
  /** Queues a message; messages queued in one turn of the event loop are sent as one batch. */
  send: (message: PeerMessage) => void
  close: () => void
}

export interface PeerLinkEvents {
  receive: (link: PeerLink, message: PeerMessage) => void
  /** Called once; messages that were not received before are lost. */
  closed: (link: PeerLink) => void
}

/** Why a connection or message was refused on the peers' port. */
export type PeerRefusalCode = 'peer_key_unknown' | 'peer_message_invalid' | 'peer_message_unexpected'

export interface ServePeersOptions {
  /** IP address to listen on. */
  address: string
  /** 0 selects a free port. */
  port: number
  /** Key that every peer must present. */
  key: string
  events: PeerLinkEvents
  /** Called for each peer with an unknown key and each message that was refused. */
  receiveRefusal: (code: PeerRefusalCode) => void
}

export interface PeerServer {
  readonly port: number
  stop: () => Promise<void>
}

export interface OpenPeerLinkOptions {
  /** `ip:port` of the peer. */
  address: string
  /** Host expected at the address. */
  hostId: string
  key: string
  hello: PeerMessageOf<'hello'>
  events: PeerLinkEvents
}

export interface PeerTransport {
  /** Listens for links; refuses peers that do not present the key. Rejects if the port is in use. */
  serve: (options: ServePeersOptions) => Promise<PeerServer>
  /** Opens a link and sends `hello`; a failure to connect is reported through `closed`. */
  open: (options: OpenPeerLinkOptions) => PeerLink
}
