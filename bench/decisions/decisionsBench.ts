/** `npm run bench:decisions`: runs policies over traces and prints their measures beside the bounds. */
import { parseArgs } from 'node:util'
import { computeBounds } from './bounds.js'
import type { Bounds } from './bounds.js'
import { printDecisionCosts } from './decisionCost.js'
import { computeMeasures } from './measures.js'
import type { CostMeasures, Measures } from './measures.js'
import { policies } from './policies.js'
import { runTrace } from './runTrace.js'
import { buildTrace, traceNames } from './traces.js'
import type { TraceName } from './traces.js'
import { blueMahoe, scutire } from './workload.js'

const heldOutSeeds = '9001,9002,9003'

const { values } = parseArgs({
  options: {
    traces: { type: 'string', default: traceNames.join(',') },
    users: { type: 'string', default: 'scutire,bluemahoe' },
    seeds: { type: 'string', default: '1' },
    /** Runs the seeds that nobody tunes on, for reports alone. */
    'held-out': { type: 'boolean', default: false },
    policies: { type: 'string', default: policies.map(policy => policy.name).join(',') }
  }
})

const seeds = (values['held-out'] ? heldOutSeeds : values.seeds).split(',').map(Number)

function formatRow (cells: string[]): string {
  const widths = [10, 9, 6, 14, 9, 9, 8, 8, 6, 8, 8, 8, 14, 14]
  return cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(' ')
}

function formatRatio (value: number, bound: number): string {
  return bound === 0 ? '-' : (value / bound).toFixed(2)
}

/** Mean, what 99 in 100 keep to, and greatest, in microseconds. */
function formatCosts ({ mean, ninetyNine, greatest }: CostMeasures): string {
  return [mean, ninetyNine, greatest].map(value => value.toFixed(0)).join('/')
}

function printRow (names: string[], measures: Measures, bounds: Bounds): void {
  process.stdout.write(`${formatRow([
    ...names,
    formatRatio(measures.urgentStallMs, bounds.urgentStallMs),
    formatRatio(measures.stallMs, bounds.stallMs),
    measures.batchEfficiency.toFixed(3),
    formatRatio(measures.batchEfficiency, bounds.batchEfficiency),
    String(measures.loads),
    measures.goodput.toFixed(2),
    measures.goodputThroughFlood.toFixed(2),
    measures.goodputAfterFlood.toFixed(2),
    formatCosts(measures.planning),
    formatCosts(measures.choosing)
  ])} ${measures.classes.map(formatClass).join(' | ')}\n`)
}

function formatClass (measures: Measures['classes'][number]): string {
  const { name, requests, met, refused, late, stallSeconds } = measures
  return `${name} ${requests} met ${(met * 100).toFixed(1)}% late ${late} refused ${refused} stall ${stallSeconds.toFixed(3)}s`
}

process.stdout.write(`${formatRow(
  ['user', 'trace', 'seed', 'policy', 'urgent/b', 'stall/b', 'batch', 'batch/b', 'loads', 'goodput', 'flood', 'after', 'plan us', 'choose us']
)} classes\n`)
for (const deployment of [scutire, blueMahoe].filter(({ name }) => values.users.split(',').includes(name))) {
  for (const name of values.traces.split(',') as TraceName[]) {
    for (const seed of seeds) {
      const trace = buildTrace(deployment, name, seed)
      const bounds = computeBounds(trace)
      for (const policy of policies.filter(other => values.policies.split(',').includes(other.name))) {
        const run = await runTrace(trace, policy)
        printRow([deployment.name, name, String(seed), policy.name], computeMeasures(trace, run), bounds)
      }
    }
  }
}
printDecisionCosts()
