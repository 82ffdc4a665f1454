/** Peer links over gRPC. */
import { timingSafeEqual, createHash } from 'node:crypto'
import grpc from '@grpc/grpc-js'
import VError from 'verror'
import { createLog } from '../../createLog.js'
import type { OpenPeerLinkOptions, PeerLink, PeerLinkEvents, PeerServer, PeerTransport, ServePeersOptions } from '../../ports/peers.js'
import type { PeerMessage } from '../../schemas/peerMessage.js'
import { channelOptions, linkMethod, peerKeyHeader, servedChannelOptions } from './linkMethod.js'

const log = createLog('peers')

// The library prints lines of its own; what matters is told by errors and by this part's log.
grpc.setLogVerbosity(grpc.logVerbosity.NONE)

type Stream = grpc.ClientDuplexStream<PeerMessage[], PeerMessage[]> | grpc.ServerDuplexStream<PeerMessage[], PeerMessage[]>

/** One stream; gathers the messages of a turn of the event loop into one batch. */
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
      this.#finish()
    })
    stream.on('end', () => this.close())
    stream.on('close', () => this.#finish())
    stream.on('cancelled', () => this.#finish())
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
    this.#finish()
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

  #finish (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#events.closed(this)
  }
}

/**
 * Listens for links of peers; refuses those that do not show the key.
 */
async function servePeerLinks (options: ServePeersOptions): Promise<PeerServer> {
  const server = new grpc.Server(servedChannelOptions)
  const openStreams = new Set<PeerLink>()
  server.addService({ link: createServedMethod(options) }, {
    link: (stream: grpc.ServerDuplexStream<PeerMessage[], PeerMessage[]>) => {
      if (!isSameKey(String(stream.metadata.get(peerKeyHeader)[0] ?? ''), options.key)) {
        options.receiveRefusal('peer_key_unknown')
        log('A stranger at %s was refused: its key is not the key of the peers.', stream.getPeer())
        stream.emit('error', { code: grpc.status.UNAUTHENTICATED, details: 'the key is not the key of the peers' })
        return
      }
      const link = new GrpcPeerLink('', stream, {
        receive: options.events.receive,
        closed: closed => {
          openStreams.delete(closed)
          options.events.closed(closed)
        }
      })
      openStreams.add(link)
    }
  })
  const port = await bindServer(server, `${options.address}:${options.port}`)
  return {
    port,
    stop: async () => {
      for (const link of [...openStreams]) link.close()
      await new Promise<void>(resolve => {
        const forced = setTimeout(() => { server.forceShutdown(); resolve() }, 500)
        server.tryShutdown(() => { clearTimeout(forced); resolve() })
      })
    }
  }
}

/** Tells of batches that cannot be read; gRPC then ends their link. */
function createServedMethod (options: ServePeersOptions): typeof linkMethod {
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
      if (error) reject(new VError({ cause: error, info: { code: 'EADDRINUSE' } }, 'the peers\' port at %s is not free', address))
      else resolve(port)
    })
  })
}

/** Compares two keys in a time that does not depend on where they differ. */
export function isSameKey (given: string, expected: string): boolean {
  const hashText = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(hashText(given), hashText(expected))
}

/**
 * Opens a link and says hello; a failure to connect is told by `closed`.
 */
function openPeerLink (options: OpenPeerLinkOptions): PeerLink {
  const client = new grpc.Client(options.address, grpc.credentials.createInsecure(), channelOptions)
  const metadata = new grpc.Metadata()
  metadata.set(peerKeyHeader, options.key)
  const stream = client.makeBidiStreamRequest(
    linkMethod.path, linkMethod.requestSerialize, linkMethod.responseDeserialize, metadata)
  const link = new GrpcPeerLink(options.hostId, stream, {
    receive: options.events.receive,
    closed: closed => {
      client.close()
      options.events.closed(closed)
    }
  })
  link.send(options.hello)
  return link
}

/**
 * Links over gRPC.
 *
 * @example
 * const server = await grpcPeerTransport.serve({ address: '127.0.0.1', port: 0, key, events, receiveRefusal })
 */
export const grpcPeerTransport: PeerTransport = { serve: servePeerLinks, open: openPeerLink }
