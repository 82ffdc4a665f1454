/** Summarizes an engine's load for log records. */
import type { DeskPlanner } from './deskPlanner.js'

/** Ratios are rounded to two decimals, times to whole milliseconds; `free` and `idle` count adapter slots. */
export function describeLoad ({ places, work, running, waiting }: DeskPlanner, nowMs: number): Record<string, number> {
  return {
    use: roundRatio(work.getUtilization(nowMs)),
    pace: roundRatio(work.pace),
    backlogMs: Math.round(work.getBacklogMs(nowMs)),
    running,
    waiting,
    free: places.freeSlots,
    idle: places.idleCount,
    loading: places.loadingCount,
    unloading: places.unloadingCount
  }
}

const decimals = 2

function roundRatio (value: number): number {
  return Number(value.toFixed(decimals))
}
