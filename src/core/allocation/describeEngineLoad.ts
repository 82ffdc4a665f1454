/** Summarizes an engine's load for log records. */
import type { AllocationPlanner } from './allocationPlanner.js'

/** Ratios are rounded to two decimals, times to whole milliseconds; `free` and `idle` count adapter slots, `overShare` the waiting requests of accounts over their shares. */
export function describeEngineLoad ({ adapters, longPrompts, prefillBacklog, running, waiting, waitingOverShare }: AllocationPlanner, nowMs: number): Record<string, number> {
  const longMs = Math.round(longPrompts.getReadingMs(nowMs))
  const slowness = prefillBacklog.getSlowness(nowMs)
  return {
    use: roundRatio(prefillBacklog.getUtilization(nowMs)),
    pace: roundRatio(prefillBacklog.slowdown),
    ...(slowness !== 1 && { slowness: roundRatio(slowness) }),
    backlogMs: Math.round(prefillBacklog.getBacklogMs(nowMs)),
    ...(longMs > 0 && { longMs }),
    running,
    waiting,
    ...(waitingOverShare > 0 && { overShare: waitingOverShare }),
    free: adapters.freeSlots,
    idle: adapters.idleCount,
    loading: adapters.loadingCount,
    unloading: adapters.unloadingCount
  }
}

const decimals = 2

function roundRatio (value: number): number {
  return Number(value.toFixed(decimals))
}
