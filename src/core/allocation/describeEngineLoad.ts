/** Summarizes an engine's load for log records. */
import type { AllocationPlanner } from './allocationPlanner.js'

/** Ratios are rounded to two decimals, times to whole milliseconds; `free` and `idle` count adapter slots. */
export function describeEngineLoad ({ adapters, prefillBacklog, running, waiting }: AllocationPlanner, nowMs: number): Record<string, number> {
  return {
    use: roundRatio(prefillBacklog.getUtilization(nowMs)),
    pace: roundRatio(prefillBacklog.slowdown),
    backlogMs: Math.round(prefillBacklog.getBacklogMs(nowMs)),
    running,
    waiting,
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
