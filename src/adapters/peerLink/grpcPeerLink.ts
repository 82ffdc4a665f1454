/** Peer links over gRPC streams. */
import { timingSafeEqual, createHash } from 'node:crypto'
import grpc from '@grpc/grpc-js'
import VError from 'verror'
import { createLog } from '../../createLog.js'
import type { OpenPeerLinkOptions, PeerLink, PeerLinkEvents, PeerServer, PeerTransport, ServePeersOptions } from '../../ports/peerTransport.js'
import type { PeerMessage } from '../../schemas/peerMessage.js'
import { clientChannelOptions, linkMethod, peerKeyHeader, serverChannelOptions } from './linkMethod.js'

const log = createLog('peers')

// The library writes its own log lines to standard error. Errors and the log of this module report all that matters.
grpc.setLogVerbosity(grpc.logVerbosity.NONE)

type Stream = grpc.ClientDuplexStream<PeerMessage[], PeerMessage[]> | grpc.ServerDuplexStream<PeerMessage[], PeerMessage[]>

/** A link over one stream. Messages of one turn of the event loop are sent as one batch. */
class GrpcPeerLink implements PeerLink {
  hostId: string
  #stream: Stream
  #events: PeerLinkEvents
  #outgoing: PeerMessage[] = []
  #isClosed = false

  constructor (hostId: string, stream: Stream, events: PeerLinkEvents) {
    this.hostId = hostId
    this.#stream = stream
    this.#events = events
    stream.on('data', (batch: PeerMessage[]) => this.#receiveBatch(batch))
    stream.on('error', error => {
      log('Link to "%s" failed: %s.', this.hostId, error.message)
      this.#markClosed()
    })
    stream.on('end', () => this.close())
    stream.on('close', () => this.#markClosed())
    stream.on('cancelled', () => this.#markClosed())
  }

  send (message: PeerMessage): void {
    if (this.#isClosed) return
    this.#outgoing.push(message)
    if (this.#outgoing.length === 1) setImmediate(() => this.#sendBatch())
  }

  close (): void {
    if (this.#isClosed) return
    this.#sendBatch()
    this.#stream.end()
    this.#markClosed()
  }

  #sendBatch (): void {
    if (this.#isClosed || this.#outgoing.length === 0) return
    const batch = this.#outgoing
    this.#outgoing = []
    this.#stream.write(batch)
  }

  #receiveBatch (batch: PeerMessage[]): void {
    for (const message of batch) {
      if (message.type === 'hello') this.hostId = message.hostId
      this.#events.receive(this, message)
    }
  }

  #markClosed (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#events.closed(this)
  }
}

/**
 * Listens for links of peers and refuses those without the right key. Rejects where the address cannot be bound.
 */
async function servePeerLinks (options: ServePeersOptions): Promise<PeerServer> {
  const server = new grpc.Server(serverChannelOptions)
  const openLinks = new Set<PeerLink>()
  server.addService({ link: createServerMethod(options) }, {
    link: (stream: grpc.ServerDuplexStream<PeerMessage[], PeerMessage[]>) => {
      if (!isSameKey(String(stream.metadata.get(peerKeyHeader)[0] ?? ''), options.key)) {
        options.receiveRefusal('peer_key_unknown')
        log('Refused a link from %s: it did not send the right peer key.', stream.getPeer())
        stream.emit('error', { code: grpc.status.UNAUTHENTICATED, details: 'the key is not the key of the peers' })
        return
      }
      const link = new GrpcPeerLink('', stream, {
        receive: options.events.receive,
        closed: closedLink => {
          openLinks.delete(closedLink)
          options.events.closed(closedLink)
        }
      })
      openLinks.add(link)
    }
  })
  const port = await bindServer(server, `${options.address}:${options.port}`)
  return {
    port,
    stop: async () => {
      for (const link of [...openLinks]) link.close()
      await new Promise<void>(resolve => {
        const forceTimer = setTimeout(() => { server.forceShutdown(); resolve() }, 500)
        server.tryShutdown(() => { clearTimeout(forceTimer); resolve() })
      })
    }
  }
}

/** Reports batches that cannot be decoded; gRPC then closes their link. */
function createServerMethod (options: ServePeersOptions): typeof linkMethod {
  return {
    ...linkMethod,
    requestDeserialize: bytes => {
      try {
        return linkMethod.requestDeserialize(bytes)
      } catch (error) {
        options.receiveRefusal('peer_message_invalid')
        throw error
      }
    }
  }
}

async function bindServer (server: grpc.Server, address: string): Promise<number> {
  return await new Promise((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(new VError({ cause: error, info: { code: 'EADDRINUSE' } }, 'cannot listen on the peers\' port at %s', address))
      else resolve(port)
    })
  })
}

/** Compares two keys in constant time, so that timing reveals nothing about the expected key. */
export function isSameKey (given: string, expected: string): boolean {
  const hashText = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(hashText(given), hashText(expected))
}

/**
 * Opens a link and sends `hello` on it. A failure to connect is reported by `closed`.
 */
function openPeerLink (options: OpenPeerLinkOptions): PeerLink {
  const client = new grpc.Client(options.address, grpc.credentials.createInsecure(), clientChannelOptions)
  const metadata = new grpc.Metadata()
  metadata.set(peerKeyHeader, options.key)
  const stream = client.makeBidiStreamRequest(
    linkMethod.path, linkMethod.requestSerialize, linkMethod.responseDeserialize, metadata)
  const link = new GrpcPeerLink(options.hostId, stream, {
    receive: options.events.receive,
    closed: closedLink => {
      client.close()
      options.events.closed(closedLink)
    }
  })
  link.send(options.hello)
  return link
}

/**
 * The transport of peer links over gRPC.
 *
 * @example
 * const server = await grpcPeerTransport.serve({ address: '127.0.0.1', port: 0, key, events, receiveRefusal })
 */
export const grpcPeerTransport: PeerTransport = { serve: servePeerLinks, open: openPeerLink }
