/** Links between gateways and schedulers. */
import type { PeerMessage, PeerMessageOf } from '../schemas/peerMessage.js'

/** One open link; messages arrive in the order in which they were sent. */
export interface PeerLink {
  /** Host at the other end; on the side that was called it is empty until the `hello` has come. */
  readonly hostId: string
  /** Queues a message; messages of one turn of the event loop travel together. */
  send: (message: PeerMessage) => void
  close: () => void
}

export interface PeerLinkEvents {
  receive: (link: PeerLink, message: PeerMessage) => void
  /** Called once; every message not yet received is lost. */
  closed: (link: PeerLink) => void
}

/** What was refused on the peers' port. */
export type PeerRefusal = 'peer_key_unknown' | 'peer_message_invalid' | 'peer_message_unexpected'

export interface ServePeersOptions {
  /** IP number to listen on. */
  address: string
  /** 0 takes a free port. */
  port: number
  /** Key that every peer must show. */
  key: string
  events: PeerLinkEvents
  /** Called for each stranger and each message that was refused. */
  receiveRefusal: (code: PeerRefusal) => void
}

export interface PeerServer {
  readonly port: number
  stop: () => Promise<void>
}

export interface OpenPeerLinkOptions {
  /** `ip:port` of the peer. */
  address: string
  /** Host that is expected at the address. */
  hostId: string
  key: string
  hello: PeerMessageOf<'hello'>
  events: PeerLinkEvents
}

export interface PeerTransport {
  /** Listens for links; refuses peers that do not show the key. Rejects where the port is in use. */
  serve: (options: ServePeersOptions) => Promise<PeerServer>
  /** Opens a link and says hello; a failure to connect is told by `closed`. */
  open: (options: OpenPeerLinkOptions) => PeerLink
}
