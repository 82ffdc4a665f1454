/** Keeps a link to every scheduler on the list and what each tells of its endpoints. */
import { applyChanges } from '../../core/endpointChanges.js'
import type { EndpointView } from '../../core/endpointChoice.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerLink, PeerTransport } from '../../ports/peers.js'
import { productVersion } from '../../constants.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { EndpointChanges, EndpointSummaries, Member, PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import { KnownSchedulers } from '../membership/knownSchedulers.js'

const log = createLog('links')
const listIntervalMs = 1000

export interface SchedulerLinksOptions {
  clock: Clock
  hostList: HostList
  hostId: string
  zone: string
  peerTransport: PeerTransport
  peerKey: string
  receiveMessage: (hostId: string, message: PeerMessage) => void
  /** The host's endpoints are known for the first time on this link. */
  receiveOpened: (hostId: string) => void
  /** Everything that was sent to the host and not yet answered is lost. */
  receiveClosed: (hostId: string) => void
  /** The endpoints that can be chosen have changed. */
  receiveChange: () => void
  receiveList: (entries: HostListEntry[]) => void
}

interface Scheduler {
  link: PeerLink
  summaries: EndpointSummaries | undefined
  sentSince: Map<string, SentSince>
}

interface SentSince {
  attempts: number
  loads: string[]
}

export class SchedulerLinks {
  #options: SchedulerLinksOptions
  #known = new KnownSchedulers()
  #schedulers = new Map<string, Scheduler>()
  #repetition: Repetition | undefined

  constructor (options: SchedulerLinksOptions) {
    this.#options = options
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, listIntervalMs, async () => await this.#readList(),
      error => log('The list of hosts was not read: %s.', error.message))
  }

  stop (): void {
    this.#repetition?.stop()
    this.#repetition = undefined
    for (const scheduler of this.#schedulers.values()) scheduler.link.close()
  }

  /** Lists the schedulers to which a link is open. */
  listHostIds (): string[] {
    return [...this.#schedulers.keys()]
  }

  /** Sends a message; false where there is no link to the host. */
  send (hostId: string, message: PeerMessage): boolean {
    const scheduler = this.#schedulers.get(hostId)
    scheduler?.link.send(message)
    return scheduler !== undefined
  }

  /** Counts a dispatched attempt until the next summary shows it. */
  recordSent (hostId: string, endpointId: string, adapterName: string): void {
    const scheduler = this.#schedulers.get(hostId)
    if (!scheduler) return
    const sent = scheduler.sentSince.get(endpointId) ?? { attempts: 0, loads: [] }
    sent.attempts++
    if (!sent.loads.includes(adapterName)) sent.loads.push(adapterName)
    scheduler.sentSince.set(endpointId, sent)
  }

  /** Lists the endpoints of all schedulers; of two claims to one endpoint, the higher fencing number holds. */
  listViews (): EndpointView[] {
    const views = new Map<string, EndpointView>()
    for (const [hostId, scheduler] of this.#schedulers) {
      if (scheduler.summaries?.isLeaving) continue
      for (const summary of scheduler.summaries?.endpoints ?? []) {
        const other = views.get(summary.endpointId)
        if (other && other.summary.fencing >= summary.fencing) continue
        const sent = scheduler.sentSince.get(summary.endpointId)
        views.set(summary.endpointId, { summary, hostId, sentSince: sent?.attempts ?? 0, loadsSentSince: sent?.loads ?? [] })
      }
    }
    return [...views.values()]
  }

  async #readList (): Promise<void> {
    const entries = await this.#options.hostList.listEntries()
    this.#options.receiveList(entries)
    this.#known.receiveList(entries)
    this.#openLinks()
  }

  #openLinks (): void {
    for (const member of this.#known.list()) if (!this.#schedulers.has(member.hostId)) this.#openLink(member)
  }

  #openLink (member: Member): void {
    const { hostId, zone, peerKey } = this.#options
    const hello: PeerMessageOf<'hello'> = { type: 'hello', hostId, role: 'gateway', zone, version: productVersion }
    const link = this.#options.peerTransport.open({
      address: member.address,
      hostId: member.hostId,
      key: peerKey,
      hello,
      events: {
        receive: (_link, message) => this.#receive(member.hostId, message),
        closed: closed => this.#receiveClosed(member.hostId, closed)
      }
    })
    this.#schedulers.set(member.hostId, { link, summaries: undefined, sentSince: new Map() })
  }

  #receive (hostId: string, message: PeerMessage): void {
    if (message.type === 'endpointSummaries') this.#receiveSummaries(hostId, message)
    else if (message.type === 'endpointChanges') this.#receiveChanges(hostId, message)
    else if (message.type === 'members') this.#receiveMembers(message.members)
    else this.#options.receiveMessage(hostId, message)
  }

  /** A scheduler tells of others, which the list may not show yet. */
  #receiveMembers (members: Member[]): void {
    this.#known.addMembers(members)
    if (this.#repetition) this.#openLinks()
  }

  #receiveSummaries (hostId: string, summaries: EndpointSummaries): void {
    const scheduler = this.#schedulers.get(hostId)
    if (!scheduler) return
    const isFirst = scheduler.summaries === undefined
    scheduler.summaries = summaries
    scheduler.sentSince.clear()
    if (isFirst) {
      log('Link to scheduler "%s" is open.', hostId)
      this.#options.receiveOpened(hostId)
    }
    this.#options.receiveChange()
  }

  #receiveChanges (hostId: string, message: EndpointChanges): void {
    const known = this.#schedulers.get(hostId)?.summaries
    if (!known) return
    const { isLeaving = false } = message
    this.#receiveSummaries(hostId, { ...known, isLeaving, endpoints: applyChanges(known.endpoints, message) })
  }

  #receiveClosed (hostId: string, link: PeerLink): void {
    if (this.#schedulers.get(hostId)?.link !== link) return
    log('Link to scheduler "%s" is closed.', hostId)
    this.#schedulers.delete(hostId)
    this.#known.forgetTold(hostId)
    this.#options.receiveClosed(hostId)
  }
}
