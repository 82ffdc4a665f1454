/** Asks other hosts for the software versions of a service while the store does not tell them. */
import type { EventLog } from '../../ports/eventLog.js'

export interface PeerVersionsOptions {
  log: EventLog
  /** IP addresses of the other hosts. */
  listPeers: () => string[]
  /** The versions that the host at an address knows; undefined if it does not reply, or cannot say. */
  askPeer: (address: string, service: string) => Promise<readonly string[] | undefined>
  random: () => number
}

/** More hosts than this are represented by as many, picked at random. */
const maxAskedPeers = 16

export class PeerVersions {
  #options: PeerVersionsOptions
  /** Queries in progress, by service. */
  #pending = new Map<string, Promise<string[] | undefined>>()

  constructor (options: PeerVersionsOptions) {
    this.#options = options
  }

  /** Finds the versions that other hosts know; undefined if most of them do not reply, so that this host may be the one that missed some. */
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
    const { log, askPeer } = this.#options
    const asked = this.#pickPeers()
    const replies = (await Promise.all(asked.map(async address => await askPeer(address, service)))).filter(reply => reply !== undefined)
    const versions = [...new Set(replies.flat())]
    const isEnough = replies.length * 2 >= asked.length
    log.record('stream.versionsAsked', 'Asked other hosts for the software versions of a service, as the store does not tell them.', { service, asked: asked.length, replies: replies.length, versions, isEnough })
    return isEnough ? versions : undefined
  }

  #pickPeers (): string[] {
    const { listPeers, random } = this.#options
    return listPeers().map(address => ({ address, rank: random() })).sort((left, right) => left.rank - right.rank).slice(0, maxAskedPeers).map(({ address }) => address)
  }
}
