/** Computes the users' measures from what happened in a run. */
import { isDeferrable } from '../../src/core/targetTime.js'
import { parseHandle } from '../../src/core/handleFormat.js'
import type { DecisionCost, RequestRecord, RunRecord } from './runTrace.js'
import { floodTimes } from './traces.js'
import type { Trace } from './workload.js'

export interface ClassMeasures {
  name: string
  requests: number
  /** Part of all requests whose target was met. */
  met: number
  refused: number
  /** Finished late, or not at all, though not refused. */
  late: number
  /** Mean load stall of a request, in seconds. */
  stallSeconds: number
}

export interface Measures {
  classes: ClassMeasures[]
  /** Sum of load stalls of requests that somebody waits for, in milliseconds. */
  urgentStallMs: number
  stallMs: number
  batchEfficiency: number
  loads: number
  /** Requests a second that met their target. */
  goodput: number
  /** The same through the minute of the flood, where a trace has one, and after it. */
  goodputThroughFlood: number
  goodputAfterFlood: number
  planning: CostMeasures
  choosing: CostMeasures
}

/** Microseconds a call: mean, what 99 in 100 keep to, and greatest. */
export interface CostMeasures {
  mean: number
  ninetyNine: number
  greatest: number
}

/** Computes the measures over the requests that arrived after the warm-up. */
export function computeMeasures (trace: Trace, run: RunRecord): Measures {
  const measured = run.requests.filter(record => record.request.atMs >= trace.warmUpMs)
  const stalls = new Map(measured.map(record => [record, computeStallMs(record, run)]))
  const sumStalls = (records: RequestRecord[]): number => records.reduce((sum, record) => sum + stalls.get(record)!, 0)
  const classes = trace.deployment.classes.map(workClass => {
    const records = measured.filter(record => record.request.workClass === workClass)
    const met = records.filter(isMet).length
    const refused = records.filter(record => record.failedCode !== undefined).length
    return {
      name: workClass.name,
      requests: records.length,
      met: met / Math.max(1, records.length),
      refused,
      late: records.length - met - refused,
      stallSeconds: sumStalls(records) / Math.max(1, records.length) / 1000
    }
  })
  const loads = [...run.loads.values()].filter(load => load.orderedAtMs >= trace.warmUpMs && load.orderedAtMs <= trace.endMs)
  return {
    classes,
    urgentStallMs: sumStalls(measured.filter(record => !isDeferrable(record.request.workClass.target))),
    stallMs: sumStalls(measured),
    batchEfficiency: run.tokens / Math.max(1, run.steps * trace.deployment.batchLimit),
    loads: loads.length,
    goodput: measured.filter(isMet).length / ((trace.endMs - trace.warmUpMs) / 1000),
    goodputThroughFlood: computeGoodput(measured, floodTimes.fromMs, floodTimes.untilMs),
    goodputAfterFlood: computeGoodput(measured, floodTimes.untilMs, trace.endMs),
    planning: computeCosts(run.planning),
    choosing: computeCosts(run.choosing)
  }
}

/** Requests a second that met their target and ended between two times. */
function computeGoodput (records: RequestRecord[], fromMs: number, untilMs: number): number {
  const met = records.filter(record => isMet(record) && record.finishedAtMs! >= fromMs && record.finishedAtMs! < untilMs)
  return met.length / ((untilMs - fromMs) / 1000)
}

/** Computes the measures of calls from their times in milliseconds. */
export function computeCosts (cost: DecisionCost): CostMeasures {
  const sorted = Float64Array.from(cost).sort()
  const total = sorted.reduce((sum, ms) => sum + ms, 0)
  const findAt = (part: number): number => (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0) * 1000
  return { mean: total / Math.max(1, sorted.length) * 1000, ninetyNine: findAt(0.99), greatest: findAt(1) }
}

/** Whether the answer came by the target's time. */
export function isMet (record: RequestRecord): boolean {
  const isFirstToken = record.request.workClass.target.kind === 'firstTokenWithin'
  const reachedAtMs = isFirstToken ? record.firstTokenAtMs : record.finishedAtMs
  return record.finishedAtMs !== undefined && reachedAtMs !== undefined && reachedAtMs <= record.dueAtMs
}

/**
 * Time that a request waited for its adapter. One that somebody waits for stalls from its arrival until the load that
 * served it ended; one that may wait stalls while that load runs. A request that was never dispatched counts no stall:
 * it shows as refused or late.
 */
function computeStallMs (record: RequestRecord, run: RunRecord): number {
  if (record.handle === undefined || !parseHandle(record.handle)) return 0
  const load = run.loads.get(record.handle)
  if (!load) return 0
  const from = isDeferrable(record.request.workClass.target) ? Math.max(record.arrivedAtMs, load.orderedAtMs) : record.arrivedAtMs
  return Math.max(0, load.loadedAtMs - from)
}
