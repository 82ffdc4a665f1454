/** The platform's table and list as one host of the fuzzed system sees them, with outages and lost answers. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import { MemoryTable } from '../src/adapters/memoryPlatform/memoryTable.js'
import { createPlatformUnavailable } from '../src/ports/platformUnavailable.js'
import type { HostList } from '../src/ports/hostList.js'
import type { RowRange, Table, Transaction, TransactionOutcome } from '../src/ports/table.js'
import type { HostListEntry } from '../src/schemas/hostList.js'
import type { FakeHost } from './fakeHost.js'

const tableDelayMs = 3
const answerTimeoutMs = 2000

/** Faults of the table that hold for all hosts. */
export class FakePlatform {
  readonly rows = new MemoryTable()
  isDown = false
  /** Answers of the next transactions that are lost after the write took effect. */
  answersToLose = 0
  /** Transactions whose write takes effect only after their writer has given up. */
  writesToDelay = 0
  slownessMs = 0
  #clock: VirtualClock
  #listLagMs: number
  #shown = new Map<string, HostListEntry>()

  constructor (clock: VirtualClock, listLagMs: number) {
    this.#clock = clock
    this.#listLagMs = listLagMs
  }

  /** Changes the list; hosts see it after the lag. */
  setEntry (id: string, entry: HostListEntry | undefined): void {
    this.#clock.setTimer(() => {
      if (entry) this.#shown.set(id, entry)
      else this.#shown.delete(id)
    }, this.#listLagMs)
  }

  findShown (id: string): HostListEntry | undefined {
    return this.#shown.get(id)
  }

  createHostList (host: FakeHost, readEntry: (entry: HostListEntry) => HostListEntry = entry => entry): HostList {
    return {
      listEntries: async () => await host.deliver(Promise.resolve([...this.#shown.values()].map(readEntry)), tableDelayMs),
      announceEntry: async entry => { if (host.state === 'running') this.setEntry(entry.id, entry) },
      withdrawEntry: async id => { if (host.state === 'running') this.setEntry(id, undefined) }
    }
  }

  createTable (host: FakeHost): Table {
    return {
      readRows: async keys => await host.deliver(this.#read(async () => await this.rows.readRows(keys)), tableDelayMs),
      listRows: async (range: RowRange) => await host.deliver(this.#read(async () => await this.rows.listRows(range)), tableDelayMs),
      transact: async transaction => await host.deliver(this.#transact(transaction), tableDelayMs)
    }
  }

  async #wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => this.#clock.setTimer(resolve, delayMs))
  }

  async #read<T> (read: () => Promise<T>): Promise<T> {
    await this.#wait(tableDelayMs + this.slownessMs)
    if (this.isDown) throw createPlatformUnavailable('table')
    return await read()
  }

  async #transact (transaction: Transaction): Promise<TransactionOutcome> {
    await this.#wait(tableDelayMs + this.slownessMs)
    if (this.isDown) return { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
    if (this.writesToDelay > 0) {
      this.writesToDelay--
      this.#clock.setTimer(() => { this.rows.transact(transaction) }, answerTimeoutMs * 2)
      return await this.#loseAnswer()
    }
    const outcome = await this.rows.transact(transaction)
    if (this.answersToLose === 0) return outcome
    this.answersToLose--
    return await this.#loseAnswer()
  }

  async #loseAnswer (): Promise<TransactionOutcome> {
    await this.#wait(answerTimeoutMs)
    return { verdict: 'unknown', message: 'no answer came in time' }
  }
}
