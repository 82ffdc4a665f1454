/** Runs a soak: host processes before the stand-in platform, callers, and planned faults from outside. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { isWhole } from '../src/standin/fleet/fleetCaller.js'
import { checkSoak } from './checkSoak.js'
import type { BrokenPromise } from './checkSoak.js'
import { SoakCallers } from './soakCallers.js'
import { SoakEvents } from './soakEvents.js'
import { createRandom, createSoakPlan, firstAccountsSeed, firstBehindStreamSeed, firstHalfClosedSeed, firstPipelinedSeed, firstSlowSeed } from './soakPlan.js'
import type { PlannedEvent } from './soakPlan.js'
import { createSoakRecord } from './soakRecord.js'
import type { SoakRecord } from './soakRecord.js'
import { SoakSystem } from './soakSystem.js'

export interface SoakOptions {
  seed: number
  /** Time in which faults begin and end. */
  faultsMs: number
  hosts: number
  engines: number
  services: number
  kinds?: readonly PlannedEvent['kind'][]
  /** Name of a mechanism that is switched off. */
  without?: string
  /** Directory for the hosts' lines; one that is removed in the end if left out. */
  logs?: string
}

export interface SoakReport {
  record: SoakRecord
  plan: readonly PlannedEvent[]
  broken: BrokenPromise[]
  calls: number
  whole: number
  refused: number
  runs: number
}

/** All hosts serve after this time, or the soak fails. */
const startTimeoutMs = 20_000
/** After the last fault the system has this long to recover, in which entries lapse and engines change hands. */
const settleMs = 6000
/** Ten calls of each of four hosts, at the usual rate of the load. */
const calmCalls = 40
const calmGapMs = 50
/** Once callers have their answers, hosts notice within this time that the last connections have ended. */
const releaseMs = 1000
/** Memory and descriptors are read this often; a burst lasts four times as long. */
const useIntervalMs = 500
/** Keeps the draws of callers and endpoints apart from those of the plan. */
const loadSeedOffset = 1_000_000

/**
 * Runs one seed. Rejects where the system does not start.
 *
 * @example
 * const { broken } = await runSoak({ seed: 7, faultsMs: 20_000, hosts: 4, engines: 3, services: 2 })
 */
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const { seed, faultsMs, hosts, engines, services, kinds, without } = options
  const plan = createSoakPlan({ seed, faultsMs, ...(kinds && { kinds }) })
  const random = createRandom(seed + loadSeedOffset)
  const ends: SoakRecord['ends'] = []
  const hasAccounts = seed >= firstAccountsSeed
  const logs = options.logs ?? await mkdtemp(join(tmpdir(), 'soak-'))
  const system = await SoakSystem.start({ hosts, engines, services, hasAccounts, random, without, logs, receiveEnd: end => ends.push(end) })
  const record = createRecord(system)
  record.ends = ends
  const callers = new SoakCallers({ hosts: system.hosts, record, random, sendsAhead: seed >= firstPipelinedSeed, endsSide: seed >= firstHalfClosedSeed, sendsBehindStreams: seed >= firstBehindStreamSeed, sendsKeys: hasAccounts, sendsSlowly: seed >= firstSlowSeed })
  const useTimer = setInterval(() => recordUse(system, record), useIntervalMs)
  const load = callers.run()
  try {
    await waitForHosts(callers, hosts)
    await runEvents(new SoakEvents({ system, callers, record }), plan)
    await sleep(settleMs)
    await callCalmly(callers, system)
    await callers.finish()
    await recordHeld(system, record)
  } finally {
    clearInterval(useTimer)
    await callers.finish()
    await load
    await callers.close()
    await system.stop()
    if (options.logs === undefined) await rm(logs, { recursive: true })
  }
  record.violations.push(...system.fleet.engines.flatMap(({ engine }) => engine!.violations))
  return {
    record,
    plan,
    broken: checkSoak(record),
    calls: record.calls.length,
    whole: record.calls.filter(({ answer }) => isWhole(answer)).length,
    refused: record.calls.filter(({ answer }) => answer.status === 503).length,
    runs: record.runs.length
  }
}

function createRecord ({ fleet, hosts }: SoakSystem): SoakRecord {
  const { timeoutMs, patienceMs } = fleet.defaultRoutes[0]!
  return createSoakRecord({ ...hosts[0]!.settings, timeoutMs, patienceMs }, fleet.journal.runs)
}

async function waitForHosts (callers: SoakCallers, count: number): Promise<void> {
  const endsAtMs = performance.now() + startTimeoutMs
  while (callers.readyHosts.length < count) {
    if (performance.now() > endsAtMs) throw new Error(`only ${callers.readyHosts.length} of ${count} hosts serve ${startTimeoutMs / 1000} s after their start`)
    await sleep(100)
  }
}

async function runEvents (events: SoakEvents, plan: readonly PlannedEvent[]): Promise<void> {
  const startedAtMs = performance.now()
  await Promise.all(plan.map(async event => {
    await sleep(event.atMs - (performance.now() - startedAtMs))
    await events.inject(event)
  }))
}

/** Asks every host in turn, when nothing strikes any more. */
async function callCalmly (callers: SoakCallers, { hosts }: SoakSystem): Promise<void> {
  const calls: Promise<unknown>[] = []
  for (let index = 0; index < calmCalls; index++) {
    calls.push(callers.call(hosts[index % hosts.length]!, 'calm'))
    await sleep(calmGapMs)
  }
  await Promise.all(calls)
}

async function recordHeld ({ hosts }: SoakSystem, record: SoakRecord): Promise<void> {
  await sleep(releaseMs)
  record.heldBytes = await Promise.all(hosts.filter(host => host.isRunning).map(async host => ({ host: host.settings.hostName, bytes: await host.readHeldBytes() })))
}

async function recordUse ({ hosts }: SoakSystem, record: SoakRecord): Promise<void> {
  for (const use of await Promise.all(hosts.map(async host => await host.readUse()))) {
    record.peakMemoryMb = Math.max(record.peakMemoryMb, use?.memoryMb ?? 0)
    record.peakDescriptors = Math.max(record.peakDescriptors, use?.descriptors ?? 0)
  }
}
