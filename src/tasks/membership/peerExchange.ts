/** Exchanges state between schedulers: members, suspect contents, reports of a table outage, and permits of the load budget. */
import { createLog } from '../../createLog.js'
import { outageReportTtlMs } from '../../core/ownershipTimeouts.js'
import type { SuspectRegistry } from '../../core/suspectRegistry.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerTransport } from '../../ports/peerTransport.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { Member, PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import type { EndpointOwnership } from '../ownership/endpointOwnership.js'
import { PermitTask } from '../permits/permitTask.js'
import type { PermitState } from '../permits/permitTask.js'
import { SchedulerPeers } from './schedulerPeers.js'

const log = createLog('membership')
const outageIntervalMs = 500

export interface PeerExchangeOptions {
  clock: Clock
  hostId: string
  hostList: HostList
  peerTransport: PeerTransport
  peerKey: string
  budget: { loadsPerSecond: number, loadsAtFullSpeed: number }
  ownership: Pick<EndpointOwnership, 'listOwners' | 'hasOutage'>
  suspects: SuspectRegistry
  /** Sends a message to every gateway. */
  sendToGateways: (message: PeerMessage) => void
  /** Receives messages of other schedulers that are for other parts of the process. */
  receiveOtherMessage: (hostId: string, message: PeerMessage) => void
}

/** The part of a state dump about the other schedulers. */
export interface PeerExchangeState {
  peers: Member[]
  /** Ids of the hosts that currently report an outage of the table. */
  outageReports: string[]
  permits: PermitState
}

export class PeerExchange {
  #options: PeerExchangeOptions
  #peers: SchedulerPeers
  #permits: PermitTask
  #outageReportedAtMs = new Map<string, number>()
  #repetition: Repetition | undefined

  constructor (options: PeerExchangeOptions) {
    this.#options = options
    const { clock, hostId, ownership, budget } = options
    this.#peers = new SchedulerPeers({
      ...options,
      receiveMessage: (from, message) => this.receiveMessage(from, message),
      receiveOpened: () => this.#sendMembers(),
      receiveClosed: from => {
        this.#permits.receiveClosed(from)
        this.#sendMembers()
      }
    })
    this.#permits = new PermitTask({
      clock,
      hostId,
      budget,
      listOwners: () => ownership.listOwners(),
      send: (to, message) => this.#peers.send(to, message)
    })
  }

  /** Starts to open links to peers; `own` describes this scheduler to them. */
  start (own: Member): void {
    this.#peers.start(own)
    this.#permits.start()
    this.#repetition = repeatTask(this.#options.clock, outageIntervalMs, async () => {
      if (this.#options.ownership.hasOutage()) this.#peers.sendAll({ type: 'tableOutage' })
    }, () => {})
  }

  describeState (): PeerExchangeState {
    return { peers: this.listMembers(), outageReports: this.listOutageReports(), permits: this.#permits.describeState() }
  }

  stop (): void {
    this.#repetition?.stop()
    this.#permits.stop()
    this.#peers.stop()
  }

  listMembers (): Member[] {
    return this.#peers.listMembers()
  }

  /** Lists the hosts that recently reported that the table does not respond to them. */
  listOutageReports (): string[] {
    const nowMs = this.#options.clock.readMonotonic()
    return [...this.#outageReportedAtMs].filter(([, atMs]) => nowMs - atMs < outageReportTtlMs).map(([hostId]) => hostId)
  }

  /** Waits for a permit for a load on an endpoint that should start within `slackMs`; the result releases it. */
  async requestPermit (endpointId: string, slackMs: number): Promise<() => void> {
    return await this.#permits.requestPermit(endpointId, slackMs)
  }

  /** Handles the hello of a host that has opened a link to this one, and replies with suspect contents and members. */
  receiveHello (hello: PeerMessageOf<'hello'>, reply: (message: PeerMessage) => void): void {
    const { hostId, zone, address, role } = hello
    if (role === 'scheduler' && address !== undefined) this.#peers.addMembers([{ hostId, zone, address }])
    reply({ type: 'suspects', suspects: this.#options.suspects.listRecords() })
    reply({ type: 'members', members: this.#peers.listMembers() })
  }

  /** Handles a message of another scheduler. */
  receiveMessage (hostId: string, message: PeerMessage): void {
    if (message.type === 'members') this.#peers.addMembers(message.members)
    else if (message.type === 'suspects') this.addSuspectRecords(message)
    else if (message.type === 'tableOutage') this.#outageReportedAtMs.set(hostId, this.#options.clock.readMonotonic())
    else if (message.type === 'permitRequest' || message.type === 'permitGrant' || message.type === 'permitRelease') {
      this.#permits.receiveMessage(hostId, message)
    } else {
      this.#options.receiveOtherMessage(hostId, message)
    }
  }

  /** Merges reported crashes into the registry, and sends the records that held new ones to all schedulers and gateways. */
  addSuspectRecords ({ suspects }: PeerMessageOf<'suspects'>): void {
    const nowMs = this.#options.clock.readMonotonic()
    const newRecords = suspects.filter(suspect => this.#options.suspects.addRecord(suspect, nowMs))
    if (newRecords.length === 0) return
    log('New crash records for %d request contents.', newRecords.length)
    this.#peers.sendAll({ type: 'suspects', suspects: newRecords })
    this.#options.sendToGateways({ type: 'suspects', suspects: newRecords })
  }

  #sendMembers (): void {
    const message: PeerMessage = { type: 'members', members: this.#peers.listMembers() }
    this.#peers.sendAll(message)
    this.#options.sendToGateways(message)
  }
}
