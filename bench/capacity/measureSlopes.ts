/** What control costs at several sizes: memory, bytes and processor time of one thing each. */
import { encodeBatch, decodeBatch } from '../../src/adapters/peerLink/linkMethod.js'
import { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import { createCostChoice } from '../../src/core/costChoice.js'
import type { ChoiceRequest, EndpointView } from '../../src/core/endpointChoice.js'
import type { VersionedRecord } from '../../src/schemas/configuration.js'
import { formatEndpointKey, formatSchedulerKey } from '../../src/schemas/ownershipRows.js'
import type { EndpointRow, SchedulerRow } from '../../src/schemas/ownershipRows.js'
import type { EndpointSummary, PeerMessage } from '../../src/schemas/peerMessage.js'
import { MemoryConfiguration } from '../../src/tasks/configuration/memoryConfiguration.js'
import { readOwnershipRows } from '../../src/tasks/ownership/ownershipSnapshot.js'
import type { Measurement } from './fitLine.js'

const loadedPerEndpoint = 8
const microsecondsPerMs = 1000
const bytesPerKilobyte = 1024

/** One thing that is measured at several sizes. */
export interface Subject {
  name: string
  unit: string
  /** What the size counts. */
  per: string
  sizes: number[]
  measure: (size: number) => number | Promise<number>
}

function createAdapter (index: number): VersionedRecord {
  return {
    version: index + 1,
    record: {
      kind: 'adapter', name: `adapter-${index}`, baseModel: 'base-1', versions: ['1', '2'], currentVersion: '2', defaultClass: 'counter'
    }
  }
}

function createConfiguration (adapters: number): MemoryConfiguration {
  const configuration = new MemoryConfiguration()
  configuration.applySnapshot(adapters, Array.from({ length: adapters }, (_, index) => createAdapter(index)))
  return configuration
}

function readHeapBytes (): number {
  global.gc?.()
  return process.memoryUsage().heapUsed
}

let kept: unknown

function measureHeap (create: () => unknown): number {
  kept = undefined
  const before = readHeapBytes()
  kept = create()
  const used = readHeapBytes() - before
  if (kept === undefined) throw new Error('nothing was kept')
  return used
}

/** Microseconds of one run of a step, as the least of several rounds, which is the one that least else disturbed. */
function measureMicroseconds (rounds: number, runs: number, step: (run: number) => void): number {
  let least = Infinity
  for (let round = 0; round < rounds; round++) {
    const startedMs = performance.now()
    for (let run = 0; run < runs; run++) step(run)
    least = Math.min(least, (performance.now() - startedMs) * microsecondsPerMs / runs)
  }
  return least
}

function createSummary (index: number): EndpointSummary {
  return {
    endpointId: `engine-${index}`,
    zone: `az-${index % 3}`,
    baseModel: 'base-1',
    fencing: 1000 + index,
    isReady: true,
    slots: loadedPerEndpoint,
    batchLimit: 16,
    running: index % 16,
    queued: 3,
    expectedWaitMs: index,
    expectedLoadMs: 700,
    serviceIntervalMs: 40,
    evictionCostMs: 100,
    loaded: Array.from({ length: loadedPerEndpoint }, (_, slot) => `adapter-${index * loadedPerEndpoint + slot}@2`),
    loading: []
  }
}

function createSummaries (endpoints: number): PeerMessage {
  return {
    type: 'endpointSummaries',
    hostId: 'scheduler-1',
    isLeaving: false,
    endpoints: Array.from({ length: endpoints }, (_, index) => createSummary(index))
  }
}

function createViews (endpoints: number): EndpointView[] {
  return Array.from({ length: endpoints }, (_, index) => (
    { summary: createSummary(index), hostId: `scheduler-${index % 7}`, sentSince: 1, loadsSentSince: [] }))
}

const choiceRequest: ChoiceRequest = {
  requestId: 'req-1',
  attempt: 1,
  adapter: 'adapter-5',
  version: '2',
  baseModel: 'base-1',
  className: 'counter',
  dueInMs: 450,
  isDeferrable: false,
  promptTokens: 100,
  avoidEndpoints: [],
  zone: 'az-1'
}

/** A table with the rows of a cell: 7 hosts and 12 endpoints for each unit of size. */
async function createOwnershipTable (cells: number): Promise<MemoryTable> {
  const table = new MemoryTable()
  for (let cell = 0; cell < cells; cell++) {
    const hosts = Array.from({ length: 7 }, (_, index) => `host-${cell}-${index}`)
    for (const hostId of hosts) {
      const value: SchedulerRow = { hostId, session: hostId.padEnd(36, 'x'), zone: 'az-1', counter: 1, isLeaving: false, witnesses: hosts, held: [{ endpointId: `engine-${cell}-1`, fencing: 3 }] }
      await table.transact({ token: hostId, checks: [], writes: [{ key: formatSchedulerKey(hostId), value }] })
    }
    for (let index = 0; index < 12; index++) {
      const endpointId = `engine-${cell}-${index}`
      const adoptable = Array.from({ length: loadedPerEndpoint }, (_, slot) => `adapter-${slot}@2#3.${slot}`)
      const value: EndpointRow = { endpointId, owner: { hostId: hosts[index % 7]!, session: 'x'.repeat(36) }, fencing: 3, adoptable, former: [] }
      await table.transact({ token: endpointId, checks: [], writes: [{ key: formatEndpointKey(endpointId), value }] })
    }
  }
  return table
}

async function measureOwnershipBytes (cells: number): Promise<number> {
  const table = await createOwnershipTable(cells)
  const rows = await table.listRows({ prefix: 'ownership/', after: '', limit: 100_000 })
  return Buffer.byteLength(JSON.stringify(rows)) / bytesPerKilobyte
}

async function measureOwnershipRead (cells: number): Promise<number> {
  const table = await createOwnershipTable(cells)
  const runs = 20
  const before = process.cpuUsage()
  for (let run = 0; run < runs; run++) await readOwnershipRows(table)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / runs
}

export const subjects: Subject[] = [
  {
    name: 'configuration in memory',
    unit: 'bytes',
    per: 'adapter',
    sizes: [2500, 5000, 10_000, 20_000],
    measure: size => measureHeap(() => createConfiguration(size))
  },
  {
    name: 'applying one change of an adapter',
    unit: 'µs',
    per: 'adapter registered',
    sizes: [2500, 5000, 10_000, 20_000],
    measure: size => {
      const configuration = createConfiguration(size)
      let version = size
      return measureMicroseconds(5, 200, () => {
        version++
        configuration.applyChange({ version, puts: [createAdapter(0).record], removes: [] })
      })
    }
  },
  {
    name: 'summaries of endpoints, whole',
    unit: 'bytes',
    per: 'endpoint',
    sizes: [3, 6, 12, 24, 48],
    measure: size => encodeBatch([createSummaries(size)]).length
  },
  {
    name: 'encoding and checking whole summaries',
    unit: 'µs',
    per: 'endpoint',
    sizes: [3, 6, 12, 24, 48],
    measure: size => {
      const message = createSummaries(size)
      return measureMicroseconds(5, 500, () => { decodeBatch(encodeBatch([message])) })
    }
  },
  {
    name: 'choosing an endpoint',
    unit: 'µs',
    per: 'endpoint known',
    sizes: [6, 12, 24, 48, 100],
    measure: size => {
      const choose = createCostChoice()
      const views = createViews(size)
      return measureMicroseconds(5, 2000, () => { choose(choiceRequest, views, () => 0.5) })
    }
  },
  {
    name: 'summaries kept by a gateway',
    unit: 'bytes',
    per: 'endpoint known',
    sizes: [50, 100, 200, 400],
    measure: size => measureHeap(() => createViews(size))
  },
  { name: 'rows of ownership', unit: 'KB', per: 'cell of 7 hosts and 12 endpoints', sizes: [1, 4, 12, 48], measure: measureOwnershipBytes },
  { name: 'reading the rows of ownership', unit: 'µs', per: 'cell of 7 hosts and 12 endpoints', sizes: [1, 4, 12, 48], measure: measureOwnershipRead }
]

/** Measures one subject at each of its sizes. */
export async function measureSubject (subject: Subject): Promise<Measurement[]> {
  const measurements: Measurement[] = []
  for (const size of subject.sizes) measurements.push({ size, value: await subject.measure(size) })
  return measurements
}
