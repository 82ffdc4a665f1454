/** Hosts that find suspect prompt parts, on a virtual clock, with messages that are lost and a store that may be absent. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createSuspectTasks } from '../../src/bin/createSuspectTasks.js'
import type { SuspectTasks } from '../../src/bin/createSuspectTasks.js'
import type { StoreOutcome, StoreTransaction } from '../../src/ports/store.js'
import { decodeHostsRow, parseHostsKey } from '../../src/schemas/hostRows.js'
import type { SuspectMessage } from '../../src/schemas/datagram.js'
import { RowStore } from '../../src/standin/fleet/rowStore.js'
import { createEvenDraws } from '../../src/standin/fleet/createEvenDraws.js'

export interface SuspectPartHostsOptions {
  hosts: number
  lostShare: number
  isStoreAbsent: boolean
}

const messageDelayMs = 8
const storeDelayMs = 150

export class SuspectPartHosts {
  readonly clock = new VirtualClock()
  readonly hosts: { name: string, tasks: SuspectTasks, sent: number, trials: number[] }[] = []
  #options: SuspectPartHostsOptions
  #rows = new RowStore()
  #random = createEvenDraws()
  #crashCount = 0
  #requestCount = 0

  constructor (options: SuspectPartHostsOptions) {
    this.#options = options
    for (let index = 0; index < options.hosts; index++) this.addHost()
  }

  /** A host that starts reads all rows. */
  addHost (): void {
    const name = `host-${this.hosts.length}`
    const host = { name, tasks: this.#createTasks(name), sent: 0, trials: [] }
    this.hosts.push(host)
    for (const { key, value, version } of this.#rows.listRows('sedgevalve')) this.#applyRow(host.tasks, key, value, version)
  }

  async run (forMs: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + forMs)
  }

  /** An engine crashes; each list of parts is a request of the host with its index that had not begun its answer. */
  crash (requests: readonly { host: number, parts: readonly string[] }[]): void {
    const crash = `i-${++this.#crashCount}@0/1`
    const sentAtMs = this.clock.readMonotonic() - 100
    for (const [index, host] of this.hosts.entries()) {
      const unanswered = requests.filter(request => request.host === index).map(({ parts }) => ({
        endpointId: 'i-1', startedAtMs: 0, content: `r${++this.#requestCount}`, parts, hasBegun: false, sentAtMs
      }))
      if (unanswered.length > 0) host.tasks.reportCrash({ crash, requests: unanswered })
    }
  }

  isRefused (index: number, parts: readonly string[]): number | undefined {
    return this.hosts[index]!.tasks.checks.findRefusal('a content', parts)?.status
  }

  #createTasks (name: string): SuspectTasks {
    return createSuspectTasks({
      clock: this.clock,
      log: { record: () => {} },
      own: { address: name, host: name },
      listHosts: () => this.hosts.map(host => ({ address: host.name, host: host.name })),
      send: (address, message) => this.#send(name, address, message as SuspectMessage),
      transact: async transaction => await this.#transact(transaction),
      isStoreUnavailable: () => this.#options.isStoreAbsent,
      random: this.#random,
      receiveCrash: () => {},
      receiveRefused: () => {}
    })
  }

  #send (sender: string, address: string, message: SuspectMessage): void {
    this.hosts.find(({ name }) => name === sender)!.sent++
    if (this.#random() < this.#options.lostShare) return
    this.clock.setTimer(() => this.hosts.find(({ name }) => name === address)!.tasks.receiveMessage(message), messageDelayMs)
  }

  async #transact (transaction: StoreTransaction): Promise<StoreOutcome> {
    await new Promise<void>(resolve => { this.clock.setTimer(resolve, storeDelayMs) })
    if (this.#options.isStoreAbsent) return { verdict: 'notApplied', reason: 'the store is absent' }
    const outcome = this.#rows.transact(transaction)
    if (outcome.verdict !== 'applied') return outcome
    const { version } = outcome
    this.clock.setTimer(() => {
      for (const { tasks } of this.hosts) {
        for (const { key, value } of transaction.writes) this.#applyRow(tasks, key, value, version)
        for (const { key } of transaction.removals) this.#applyRow(tasks, key, undefined, version)
      }
    }, storeDelayMs)
    return outcome
  }

  #applyRow (tasks: SuspectTasks, key: string, value: Uint8Array | undefined, version: number): void {
    const decoded = value && decodeHostsRow(key, value)
    const name = parseHostsKey(key)!.name
    tasks.applyChange({ kind: 'suspect', name, suspect: decoded?.kind === 'suspect' ? decoded.row : undefined, version, mayBeRestored: false })
  }
}
