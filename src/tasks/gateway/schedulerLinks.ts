/** Maintains a link to every known scheduler, and the latest summaries that each sent of its endpoints. */
import { applyEndpointChanges } from '../../core/endpointChanges.js'
import type { EndpointView } from '../../core/endpointChoice.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerLink, PeerTransport } from '../../ports/peerTransport.js'
import { productVersion } from '../../constants.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { EndpointChanges, EndpointSummaries, Member, PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import { KnownSchedulers } from '../membership/knownSchedulers.js'

const log = createLog('links')
const hostListIntervalMs = 1000

export interface SchedulerLinksOptions {
  clock: Clock
  hostList: HostList
  hostId: string
  zone: string
  peerTransport: PeerTransport
  peerKey: string
  receiveMessage: (hostId: string, message: PeerMessage) => void
  /** Called when the first endpoint summaries arrive on a new link to the host. */
  receiveLinkOpened: (hostId: string) => void
  /** Called when the link to the host closes. All requests that were sent on it and not yet answered are lost. */
  receiveLinkClosed: (hostId: string) => void
  /** Called when the endpoints that can be selected have changed. */
  receiveEndpointChange: () => void
  receiveList: (entries: HostListEntry[]) => void
}

interface Scheduler {
  link: PeerLink
  summaries: EndpointSummaries | undefined
  /** Attempts sent since the last summaries, by endpoint id. */
  unreported: Map<string, UnreportedAttempts>
}

interface UnreportedAttempts {
  attempts: number
  /** Adapters (`adapter@version`) of these attempts, each once. */
  adapterNames: string[]
}

export class SchedulerLinks {
  #options: SchedulerLinksOptions
  #knownSchedulers = new KnownSchedulers()
  #schedulers = new Map<string, Scheduler>()
  #repetition: Repetition | undefined

  constructor (options: SchedulerLinksOptions) {
    this.#options = options
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, hostListIntervalMs, async () => await this.#readHostList(),
      error => log('Failed to read the list of hosts: %s.', error.message))
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

  /** Sends a message to a host. Returns false if there is no link to it. */
  send (hostId: string, message: PeerMessage): boolean {
    const scheduler = this.#schedulers.get(hostId)
    scheduler?.link.send(message)
    return scheduler !== undefined
  }

  /** Counts a dispatched attempt towards its endpoint until the next summaries from its scheduler include it. */
  recordSent (hostId: string, endpointId: string, adapterName: string): void {
    const scheduler = this.#schedulers.get(hostId)
    if (!scheduler) return
    const sent = scheduler.unreported.get(endpointId) ?? { attempts: 0, adapterNames: [] }
    sent.attempts++
    if (!sent.adapterNames.includes(adapterName)) sent.adapterNames.push(adapterName)
    scheduler.unreported.set(endpointId, sent)
  }

  /** Lists the endpoints of all schedulers. If two schedulers report the same endpoint, the higher fencing token wins. */
  listViews (): EndpointView[] {
    const views = new Map<string, EndpointView>()
    for (const [hostId, scheduler] of this.#schedulers) {
      if (scheduler.summaries?.isLeaving) continue
      for (const summary of scheduler.summaries?.endpoints ?? []) {
        const existing = views.get(summary.endpointId)
        if (existing && existing.summary.fencing >= summary.fencing) continue
        const sent = scheduler.unreported.get(summary.endpointId)
        views.set(summary.endpointId, { summary, hostId, sentSince: sent?.attempts ?? 0, loadsSentSince: sent?.adapterNames ?? [] })
      }
    }
    return [...views.values()]
  }

  async #readHostList (): Promise<void> {
    const entries = await this.#options.hostList.listEntries()
    this.#options.receiveList(entries)
    this.#knownSchedulers.replaceListed(entries)
    this.#openLinks()
  }

  #openLinks (): void {
    for (const member of this.#knownSchedulers.list()) if (!this.#schedulers.has(member.hostId)) this.#openLink(member)
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
        receive: (_link, message) => this.#receiveMessage(member.hostId, message),
        closed: closed => this.#receiveClosed(member.hostId, closed)
      }
    })
    this.#schedulers.set(member.hostId, { link, summaries: undefined, unreported: new Map() })
  }

  #receiveMessage (hostId: string, message: PeerMessage): void {
    if (message.type === 'endpointSummaries') this.#receiveSummaries(hostId, message)
    else if (message.type === 'endpointChanges') this.#receiveChanges(hostId, message)
    else if (message.type === 'members') this.#receiveMembers(message.members)
    else this.#options.receiveMessage(hostId, message)
  }

  /** Adds schedulers reported by another scheduler, as the list of hosts may not contain them yet. */
  #receiveMembers (members: Member[]): void {
    this.#knownSchedulers.addMembers(members)
    if (this.#repetition) this.#openLinks()
  }

  #receiveSummaries (hostId: string, summaries: EndpointSummaries): void {
    const scheduler = this.#schedulers.get(hostId)
    if (!scheduler) return
    const isFirstReport = scheduler.summaries === undefined
    scheduler.summaries = summaries
    scheduler.unreported.clear()
    if (isFirstReport) {
      log('Link to scheduler "%s" is open.', hostId)
      this.#options.receiveLinkOpened(hostId)
    }
    this.#options.receiveEndpointChange()
  }

  #receiveChanges (hostId: string, message: EndpointChanges): void {
    const known = this.#schedulers.get(hostId)?.summaries
    if (!known) return
    const { isLeaving = false } = message
    this.#receiveSummaries(hostId, { ...known, isLeaving, endpoints: applyEndpointChanges(known.endpoints, message) })
  }

  #receiveClosed (hostId: string, link: PeerLink): void {
    if (this.#schedulers.get(hostId)?.link !== link) return
    log('Link to scheduler "%s" is closed.', hostId)
    this.#schedulers.delete(hostId)
    this.#knownSchedulers.removeReported(hostId)
    this.#options.receiveLinkClosed(hostId)
  }
}
