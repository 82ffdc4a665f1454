/** A platform in memory on a virtual clock, with its faults. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createFaultyPlatform } from '../../src/adapters/memoryPlatform/faultyPlatform.js'
import type { FaultyPlatform } from '../../src/adapters/memoryPlatform/faultyPlatform.js'
import { MemoryHostList } from '../../src/adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjectStore } from '../../src/adapters/memoryPlatform/memoryObjectStore.js'
import { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'

const startOfTestsMs = Date.UTC(2026, 0, 1, 12)

export interface VirtualPlatform extends FaultyPlatform {
  clock: VirtualClock
  faults: PlatformFaults
  /** The rows themselves, not affected by faults. */
  rows: MemoryTable
  /** The objects themselves, not affected by faults. */
  objectStore: MemoryObjectStore
  /** Connects another client, with faults of its own. */
  connect: (faults: PlatformFaults) => FaultyPlatform
}

export function createVirtualPlatform (): VirtualPlatform {
  const clock = new VirtualClock(startOfTestsMs)
  const faults = createPlatformFaults()
  const rows = new MemoryTable()
  const objectStore = new MemoryObjectStore()
  const services = { table: rows, objects: objectStore, hostList: new MemoryHostList(clock, 0) }
  const shared = createFaultyPlatform({ clock, faults, ...services })
  const connect = (own: PlatformFaults): FaultyPlatform => createFaultyPlatform({ clock, faults: own, ...shared })
  return { ...shared, clock, faults, rows, objectStore, connect }
}
