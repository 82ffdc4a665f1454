/** Fault injection for a platform, controlled by settings that can change at any time. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { ObjectStore } from '../../ports/objectStore.js'
import { createPlatformUnavailable } from '../../ports/platformUnavailable.js'
import type { Table, Transaction, TransactionOutcome } from '../../ports/table.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { PlatformFaults } from './platformFaults.js'

const unavailableOutcome: TransactionOutcome = { verdict: 'notApplied', cause: 'unavailable', conflicts: [] }
const lostResponseOutcome: TransactionOutcome = { verdict: 'unknown', message: 'the response was lost' }

export interface FaultyPlatformOptions {
  clock: Clock
  faults: PlatformFaults
  table: Table
  objects: ObjectStore
  hostList: HostList
}

export interface FaultyPlatform {
  table: Table
  objects: ObjectStore
  hostList: HostList
}

/**
 * Wraps a platform and injects the faults that `faults` describes at the time of each call.
 *
 * @example
 * const { table } = createFaultyPlatform({ clock, faults, table: new MemoryTable(), objects, hostList })
 */
export function createFaultyPlatform (options: FaultyPlatformOptions): FaultyPlatform {
  return { table: createFaultyTable(options), objects: createFaultyObjects(options), hostList: createFaultyHostList(options) }
}

function createFaultyTable (options: FaultyPlatformOptions): Table {
  const { clock, faults, table } = options
  const readLimiter = new FixedWindowRateLimiter(clock, () => faults.readsPerSecond)
  const writeLimiter = new FixedWindowRateLimiter(clock, () => faults.writesPerSecond)
  const applyReadFaults = async (): Promise<void> => {
    await applyDelay(options)
    if (faults.isTableDown || !readLimiter.tryAcquire()) throw createPlatformUnavailable('table')
  }
  return {
    readRows: async keys => {
      await applyReadFaults()
      return await table.readRows(keys)
    },
    listRows: async range => {
      await applyReadFaults()
      return await table.listRows(range)
    },
    transact: async transaction => {
      await applyDelay(options)
      if (faults.isTableDown || !writeLimiter.tryAcquire()) return unavailableOutcome
      return await runTransaction(options, transaction)
    }
  }
}

async function runTransaction ({ clock, faults, table }: FaultyPlatformOptions, transaction: Transaction): Promise<TransactionOutcome> {
  if (faults.lostWrites > 0) {
    faults.lostWrites--
    return lostResponseOutcome
  }
  if (faults.lateWrites > 0) {
    faults.lateWrites--
    clock.setTimer(() => { table.transact(transaction).catch(() => {}) }, faults.lateMs)
    return lostResponseOutcome
  }
  const outcome = await table.transact(transaction)
  if (faults.lostAnswers === 0) return outcome
  faults.lostAnswers--
  return lostResponseOutcome
}

function createFaultyObjects (options: FaultyPlatformOptions): ObjectStore {
  const { faults, objects } = options
  const applyCallFaults = async (): Promise<void> => {
    await applyDelay(options)
    if (faults.isObjectsDown) throw createPlatformUnavailable('object')
  }
  return {
    writeObject: async (key, bytes) => {
      await applyCallFaults()
      await objects.writeObject(key, bytes)
    },
    readObject: async key => {
      await applyCallFaults()
      return await objects.readObject(key)
    },
    removeObject: async key => {
      await applyCallFaults()
      await objects.removeObject(key)
    }
  }
}

function createFaultyHostList (options: FaultyPlatformOptions): HostList {
  const { faults, hostList } = options
  let lastListedEntries: HostListEntry[] = []
  const applyCallFaults = async (): Promise<void> => {
    await applyDelay(options)
    if (faults.isHostListDown) throw createPlatformUnavailable('host list')
  }
  return {
    listEntries: async () => {
      await applyCallFaults()
      if (!faults.isHostListStale) lastListedEntries = await hostList.listEntries()
      return lastListedEntries
    },
    announceEntry: async entry => {
      await applyCallFaults()
      await hostList.announceEntry(entry)
    },
    withdrawEntry: async id => {
      await applyCallFaults()
      await hostList.withdrawEntry(id)
    }
  }
}

async function applyDelay ({ clock, faults }: FaultyPlatformOptions): Promise<void> {
  if (faults.delayMs === 0) return
  await new Promise<void>(resolve => { clock.setTimer(resolve, faults.delayMs) })
}

/** Limits the calls in fixed windows of one second. */
class FixedWindowRateLimiter {
  #clock: Clock
  #getLimit: () => number
  #windowStartedMs = 0
  #callCount = 0

  constructor (clock: Clock, getLimit: () => number) {
    this.#clock = clock
    this.#getLimit = getLimit
  }

  /** Counts one call; returns false if the call exceeds the limit of the current window. A limit of 0 means no limit. */
  tryAcquire (): boolean {
    const nowMs = this.#clock.readMonotonic()
    if (nowMs - this.#windowStartedMs >= 1000) {
      this.#windowStartedMs = nowMs
      this.#callCount = 0
    }
    this.#callCount++
    const limit = this.#getLimit()
    return limit === 0 || this.#callCount <= limit
  }
}
