/** Maintains a link from this scheduler to every other one. */
import { productVersion } from '../../constants.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerLink, PeerTransport } from '../../ports/peerTransport.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { Member, PeerMessage } from '../../schemas/peerMessage.js'
import { KnownSchedulers } from './knownSchedulers.js'

const log = createLog('membership')
const listIntervalMs = 1000

export interface SchedulerPeersOptions {
  clock: Clock
  hostList: HostList
  peerTransport: PeerTransport
  peerKey: string
  receiveMessage: (hostId: string, message: PeerMessage) => void
  /** Called when a peer has replied on its link for the first time. */
  receiveOpened: (hostId: string) => void
  /** Called when the link of a peer that had replied has closed. */
  receiveClosed: (hostId: string) => void
}

interface Peer {
  member: Member
  link: PeerLink
  hasReplied: boolean
}

export class SchedulerPeers {
  #options: SchedulerPeersOptions
  #known = new KnownSchedulers()
  #peers = new Map<string, Peer>()
  #own: Member | undefined
  #repetition: Repetition | undefined

  constructor (options: SchedulerPeersOptions) {
    this.#options = options
  }

  /** Starts to open links; `own` describes this scheduler to its peers. */
  start (own: Member): void {
    this.#own = own
    this.#repetition = repeatTask(this.#options.clock, listIntervalMs, async () => await this.#readList(), error => {
      log('Reading the list of hosts failed: %s.', error.message)
      this.#openLinks()
    })
  }

  stop (): void {
    this.#repetition?.stop()
    this.#repetition = undefined
    for (const peer of [...this.#peers.values()]) peer.link.close()
  }

  /** Lists the other schedulers that have replied. */
  listMembers (): Member[] {
    return [...this.#peers.values()].filter(peer => peer.hasReplied).map(peer => peer.member)
  }

  /** Adds schedulers that a peer reported, itself included. */
  addMembers (members: Member[]): void {
    this.#known.addMembers(members)
    if (this.#repetition) this.#openLinks()
  }

  send (hostId: string, message: PeerMessage): void {
    this.#peers.get(hostId)?.link.send(message)
  }

  sendAll (message: PeerMessage): void {
    for (const { link } of this.#peers.values()) link.send(message)
  }

  async #readList (): Promise<void> {
    this.#known.replaceListed(await this.#options.hostList.listEntries())
    this.#openLinks()
  }

  #openLinks (): void {
    for (const member of this.#known.list()) {
      if (member.hostId !== this.#own?.hostId && !this.#peers.has(member.hostId)) this.#openLink(member)
    }
  }

  #openLink (member: Member): void {
    const { peerTransport, peerKey } = this.#options
    const { hostId, address } = member
    const link = peerTransport.open({
      address,
      hostId,
      key: peerKey,
      hello: { type: 'hello', role: 'scheduler', version: productVersion, ...this.#own! },
      events: {
        receive: (_link, message) => this.#receive(hostId, message),
        closed: closed => this.#receiveClosed(hostId, closed)
      }
    })
    this.#peers.set(hostId, { member, link, hasReplied: false })
  }

  #receive (hostId: string, message: PeerMessage): void {
    const peer = this.#peers.get(hostId)
    if (peer && !peer.hasReplied) {
      peer.hasReplied = true
      log('Connected to scheduler "%s" at %s.', hostId, peer.member.address)
      this.#options.receiveOpened(hostId)
    }
    this.#options.receiveMessage(hostId, message)
  }

  #receiveClosed (hostId: string, link: PeerLink): void {
    const peer = this.#peers.get(hostId)
    if (peer?.link !== link) return
    this.#peers.delete(hostId)
    this.#known.removeReported(hostId)
    if (!peer.hasReplied) return
    log('Disconnected from scheduler "%s": its link has closed.', hostId)
    this.#options.receiveClosed(hostId)
  }
}
