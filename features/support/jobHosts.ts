/** Job stores and runners of several hosts on a virtual clock, with a router that counts runs. */
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { Table } from '../../src/ports/table.js'
import { createNotRunFailure } from '../../src/schemas/verdict.js'
import type { RequestFailure } from '../../src/schemas/verdict.js'
import type { RoutedRequest, SendAnswer } from '../../src/tasks/gateway/routedRequest.js'
import { JobRunner } from '../../src/tasks/jobs/jobRunner.js'
import type { JobRunnerOptions } from '../../src/tasks/jobs/jobRunner.js'
import { JobStore } from '../../src/tasks/jobs/jobStore.js'
import { RunnerLeases } from '../../src/tasks/jobs/runnerLeases.js'
import { BatchWriter } from '../../src/tasks/table/batchWriter.js'
import { TableWriter } from '../../src/tasks/table/tableWriter.js'
import { countCalls } from './countCalls.js'
import { createVirtualPlatform } from './virtualPlatform.js'

export interface JobHost {
  hostId: string
  store: JobStore
  runner: JobRunner
  faults: PlatformFaults
  /** Requests that the host's router has under way. */
  underWay: Set<string>
  isDead: boolean
}

export class JobHosts {
  readonly platform = createVirtualPlatform()
  readonly hosts: JobHost[] = []
  /** Bodies that were run, in order; failures that did not run are left out. */
  readonly runs: string[] = []
  readonly cost = { reads: 0, writes: 0 }
  runMs = 100
  /** Requests that are due sooner are refused, as a scheduler does that cannot run them by then. */
  minDueInMs = -Infinity
  /** Failures that the next runs end with. */
  failures: RequestFailure[] = []

  /** `rules` replace those of the product, to show what depends on them. */
  constructor (hostIds: string[], rules: Partial<JobRunnerOptions> = {}) {
    for (const hostId of hostIds) this.#startHost(hostId, rules)
  }

  /** The host that runs a request; undefined while none does. */
  findRunningHost (): JobHost | undefined {
    return this.hosts.find(host => host.underWay.size > 0 && !host.isDead)
  }

  #startHost (hostId: string, rules: Partial<JobRunnerOptions>): void {
    const { clock, connect } = this.platform
    const faults = createPlatformFaults()
    const { table: reached, objects } = connect(faults)
    const table = this.#countCalls(reached)
    const writer = new TableWriter({ table, clock })
    const batches = new BatchWriter({ clock, writer })
    const store = new JobStore({ table, objects, batches, writer })
    const runnerId = `${hostId}-process`
    const leases = new RunnerLeases({ runner: runnerId, hostId, clock, table, batches })
    const host: JobHost = { hostId, store, faults, underWay: new Set(), isDead: false, runner: undefined! }
    const router = {
      startRequest: (request: RoutedRequest, send: SendAnswer) => this.#run(host, request, send),
      cancelRequest: (requestId: string) => { host.underWay.delete(requestId) }
    }
    host.runner = new JobRunner({ runner: runnerId, clock, random: createRandom(this.hosts.length), store, leases, router, ...rules })
    host.runner.start()
    this.hosts.push(host)
  }

  #run (host: JobHost, request: RoutedRequest, send: SendAnswer): void {
    const isLate = request.dueAtMs - this.platform.clock.readMonotonic() < this.minDueInMs
    const failure = this.failures.shift() ?? (isLate ? createNotRunFailure('target_out_of_reach', 'too late', 429, 1000) : undefined)
    if (failure) {
      send({ type: 'failed', failure })
      return
    }
    this.runs.push(request.body)
    host.underWay.add(request.requestId)
    this.platform.clock.setTimer(() => {
      if (host.isDead || !host.underWay.delete(request.requestId)) return
      const source = { endpointId: 'engine-1', attempt: 1 }
      send({ type: 'data', data: JSON.stringify({ ran: request.body, by: host.hostId }), source })
      send({ type: 'end', source })
    }, this.runMs)
  }

  #countCalls (table: Table): Table {
    return countCalls(table, this.cost)
  }
}

/** Deterministic numbers from 0 to 1. */
function createRandom (seed: number): () => number {
  let state = seed + 1
  return () => {
    state = (state * 16807) % 2147483647
    return state / 2147483647
  }
}
