/** An engine's load as log lines tell it. */
import type { DeskPlanner } from './deskPlanner.js'

/** Shares and paces to two places, times in whole milliseconds; `free` and `idle` are adapter slots. */
export function describeLoad ({ places, work, running, waiting }: DeskPlanner, nowMs: number): Record<string, number> {
  return {
    use: roundValue(work.readUse(nowMs)),
    pace: roundValue(work.pace),
    backlogMs: Math.round(work.readBacklogMs(nowMs)),
    running,
    waiting,
    free: places.free,
    idle: places.idle,
    loading: places.loading,
    unloading: places.unloading
  }
}

const decimals = 2

function roundValue (value: number): number {
  return Number(value.toFixed(decimals))
}
