/** Runs sequences of commands and holds each against the oracle. */
import fc from 'fast-check'
import { createFuzzCommands } from './commands.js'
import type { FuzzCommand } from './commands.js'
import { FuzzSystem } from './fuzzSystem.js'
import { allMechanisms } from './mechanisms.js'
import type { FuzzMechanisms } from './mechanisms.js'
import { findViolations } from './oracle.js'
import type { PromiseName } from './promises.js'

export interface FuzzOptions {
  seed: number
  runs: number
  maxCommands: number
  /** After this time no further sequence is run; one that broke a promise is reported as short as it is by then. */
  maxSeconds: number
  mechanisms?: FuzzMechanisms
  /** Whether a sequence that broke a promise is shortened; true where left out. */
  isShortened?: boolean
}

export interface FuzzReport {
  runs: number
  requests: number
  whole: number
  failed: number
  cancelled: number
  jobs: number
  /** Calls of plain services, and how often one started on an endpoint. */
  calls: number
  callStarts: number
  loads: number
  engineStarts: number
  engineCrashes: number
  /** First broken promise with the shortest sequence that was found to break it. */
  failure: { promises: PromiseName[], message: string, sequence: string } | undefined
}

/** Runs one sequence of commands and lets the system settle. */
export async function runSequence (commands: Iterable<FuzzCommand>, mechanisms = allMechanisms): Promise<FuzzSystem> {
  const system = new FuzzSystem(mechanisms)
  await system.start()
  for (const command of commands) await command.run(system)
  await system.heal()
  return system
}

/** Runs the fuzzer; every violation of a promise is a failure. */
export async function runFuzz (options: FuzzOptions): Promise<FuzzReport> {
  const report: FuzzReport = { runs: 0, requests: 0, whole: 0, failed: 0, cancelled: 0, jobs: 0, calls: 0, callStarts: 0, loads: 0, engineStarts: 0, engineCrashes: 0, failure: undefined }
  let promises: PromiseName[] = []
  const property = fc.asyncProperty(createFuzzCommands(options.maxCommands), async commands => {
    const system = await runSequence(commands, options.mechanisms)
    countRun(report, system)
    const violations = findViolations(system)
    if (violations.length === 0) return
    promises = violations.map(violation => violation.promise)
    throw new Error(violations.map(({ promise, detail }) => `${promise}: ${detail}`).join('\n'))
  })
  const details = await fc.check(property, {
    seed: options.seed, numRuns: options.runs, endOnFailure: options.isShortened === false, interruptAfterTimeLimit: options.maxSeconds * 1000
  })
  report.runs = details.numRuns
  if (details.failed) {
    const error = details.errorInstance as Error | undefined
    const sequence = (details.counterexample?.[0] ?? []).join(',')
    report.failure = { promises, message: error?.message ?? 'interrupted', sequence }
  }
  return report
}

function countRun (report: FuzzReport, system: FuzzSystem): void {
  report.requests += system.callers.length
  report.jobs += system.jobs.length
  report.calls += system.calls.length
  report.loads += system.weights.loads.length
  for (const service of system.services.values()) report.callStarts += service.started.length
  for (const record of system.callers) {
    if (record.outcome === 'whole') report.whole++
    if (record.outcome === 'failed') report.failed++
    if (record.outcome === 'cancelled') report.cancelled++
  }
  for (const engine of system.engines.values()) {
    report.engineStarts += engine.started.length
    report.engineCrashes += engine.crashes.length
  }
}
