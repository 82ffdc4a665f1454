/** A platform that fails as its switches say. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { Objects } from '../../ports/objects.js'
import { createPlatformUnavailable } from '../../ports/platformUnavailable.js'
import type { Table, Transaction, TransactionOutcome } from '../../ports/table.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { PlatformFaults } from './platformFaults.js'

const unavailableOutcome: TransactionOutcome = { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
const lostOutcome: TransactionOutcome = { verdict: 'unknown', message: 'the answer was lost' }

export interface FaultyPlatformOptions {
  clock: Clock
  faults: PlatformFaults
  table: Table
  objects: Objects
  hostList: HostList
}

export interface FaultyPlatform {
  table: Table
  objects: Objects
  hostList: HostList
}

/**
 * Wraps a platform so that it fails as `faults` says at each moment.
 *
 * @example
 * const { table } = createFaultyPlatform({ clock, faults, table: new MemoryTable(), objects, hostList })
 */
export function createFaultyPlatform (options: FaultyPlatformOptions): FaultyPlatform {
  return { table: createFaultyTable(options), objects: createFaultyObjects(options), hostList: createFaultyHostList(options) }
}

function createFaultyTable (options: FaultyPlatformOptions): Table {
  const { clock, faults, table } = options
  const reads = new RateLimit(clock, () => faults.readsPerSecond)
  const writes = new RateLimit(clock, () => faults.writesPerSecond)
  const checkRead = async (): Promise<void> => {
    await waitDelay(options)
    if (faults.isTableDown || !reads.takeCall()) throw createPlatformUnavailable('table')
  }
  return {
    readRows: async keys => {
      await checkRead()
      return await table.readRows(keys)
    },
    listRows: async range => {
      await checkRead()
      return await table.listRows(range)
    },
    transact: async transaction => {
      await waitDelay(options)
      if (faults.isTableDown || !writes.takeCall()) return unavailableOutcome
      return await runTransaction(options, transaction)
    }
  }
}

async function runTransaction ({ clock, faults, table }: FaultyPlatformOptions, transaction: Transaction): Promise<TransactionOutcome> {
  if (faults.lostWrites > 0) {
    faults.lostWrites--
    return lostOutcome
  }
  if (faults.lateWrites > 0) {
    faults.lateWrites--
    clock.setTimer(() => { table.transact(transaction).catch(() => {}) }, faults.lateMs)
    return lostOutcome
  }
  const outcome = await table.transact(transaction)
  if (faults.lostAnswers === 0) return outcome
  faults.lostAnswers--
  return lostOutcome
}

function createFaultyObjects (options: FaultyPlatformOptions): Objects {
  const { faults, objects } = options
  const checkCall = async (): Promise<void> => {
    await waitDelay(options)
    if (faults.isObjectsDown) throw createPlatformUnavailable('object')
  }
  return {
    writeObject: async (key, bytes) => {
      await checkCall()
      await objects.writeObject(key, bytes)
    },
    readObject: async key => {
      await checkCall()
      return await objects.readObject(key)
    },
    removeObject: async key => {
      await checkCall()
      await objects.removeObject(key)
    }
  }
}

function createFaultyHostList (options: FaultyPlatformOptions): HostList {
  const { faults, hostList } = options
  let lastEntries: HostListEntry[] = []
  const checkCall = async (): Promise<void> => {
    await waitDelay(options)
    if (faults.isHostListDown) throw createPlatformUnavailable('host list')
  }
  return {
    listEntries: async () => {
      await checkCall()
      if (!faults.isHostListStale) lastEntries = await hostList.listEntries()
      return lastEntries
    },
    announceEntry: async entry => {
      await checkCall()
      await hostList.announceEntry(entry)
    },
    withdrawEntry: async id => {
      await checkCall()
      await hostList.withdrawEntry(id)
    }
  }
}

async function waitDelay ({ clock, faults }: FaultyPlatformOptions): Promise<void> {
  if (faults.delayMs === 0) return
  await new Promise<void>(resolve => { clock.setTimer(resolve, faults.delayMs) })
}

/** Counts calls within each second. */
class RateLimit {
  #clock: Clock
  #readLimit: () => number
  #startedMs = 0
  #calls = 0

  constructor (clock: Clock, readLimit: () => number) {
    this.#clock = clock
    this.#readLimit = readLimit
  }

  /** Takes one call of this second; false where none is left. */
  takeCall (): boolean {
    const nowMs = this.#clock.readMonotonic()
    if (nowMs - this.#startedMs >= 1000) {
      this.#startedMs = nowMs
      this.#calls = 0
    }
    this.#calls++
    const limit = this.#readLimit()
    return limit === 0 || this.#calls <= limit
  }
}
