/** Asks other hosts for the software versions of a service while the store does not tell them. */
import { versionNoticeMs } from '../../core/serviceVersions.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface PeerVersionsOptions {
  log: EventLog
  /** The other hosts. */
  listPeers: () => readonly VersionPeer[]
  /** Asks the host at an address; undefined if it does not reply, or cannot say. */
  askPeer: (address: string, service: string) => Promise<PeerVersionsReply | undefined>
  /** Whether a host that does not reply can't have begun streams at a version that this host does not know. */
  isAccountedFor: (host: string) => boolean
  random: () => number
}

export interface VersionPeer {
  readonly host: string
  readonly address: string
}

export interface PeerVersionsReply {
  readonly versions: readonly string[]
  /** Milliseconds since the host's view last matched the store; undefined if it never did, and from hosts of earlier versions. */
  readonly viewAgeMs: number | undefined
}

/** Hosts asked at most, picked at random. */
const maxAskedPeers = 16

export class PeerVersions {
  #options: PeerVersionsOptions
  /** Queries in progress, by service. */
  #pending = new Map<string, Promise<string[] | undefined>>()

  constructor (options: PeerVersionsOptions) {
    this.#options = options
  }

  /**
   * Finds the versions that other hosts know; undefined if a stream may have begun at one that none of them knows. Hosts that are cut off
   * together have missed the same versions, however many agree.
   */
  async find (service: string): Promise<string[] | undefined> {
    const pending = this.#pending.get(service) ?? this.#ask(service)
    this.#pending.set(service, pending)
    try {
      return await pending
    } finally {
      this.#pending.delete(service)
    }
  }

  async #ask (service: string): Promise<string[] | undefined> {
    const { log, askPeer, isAccountedFor, listPeers } = this.#options
    const peers = listPeers()
    const asked = this.#pickPeers(peers)
    const replies = new Map<string, PeerVersionsReply>()
    await Promise.all(asked.map(async ({ host, address }) => {
      const reply = await askPeer(address, service)
      if (reply) replies.set(host, reply)
    }))
    const versions = [...new Set([...replies.values()].flatMap(reply => reply.versions))]
    // A host whose view is no older knows the versions of all streams.
    const hasCurrent = [...replies.values()].some(({ viewAgeMs }) => viewAgeMs !== undefined && viewAgeMs <= versionNoticeMs)
    const missing = peers.filter(({ host }) => !replies.has(host) && !isAccountedFor(host))
    // Streams of several versions are told apart by their records, whatever other versions there are.
    const isEnough = hasCurrent || missing.length === 0 || versions.length > 1
    log.record('stream.versionsAsked', 'Asked other hosts for the software versions of a service, as the store does not tell them.', {
      service, asked: asked.length, replies: replies.size, hasCurrent, missing: missing.length, versions, isEnough
    })
    return isEnough ? versions : undefined
  }

  #pickPeers (peers: readonly VersionPeer[]): VersionPeer[] {
    const { random } = this.#options
    return peers.map(peer => ({ peer, rank: random() })).sort((left, right) => left.rank - right.rank).slice(0, maxAskedPeers).map(({ peer }) => peer)
  }
}
