/** `npm run fuzz -- --seed N --runs N`: runs the fuzzer and says what it found. */
import { parseArgs } from 'node:util'
import { parseSequence } from './commands.js'
import type { FuzzSystem } from './fuzzSystem.js'
import { allMechanisms, mechanismsWithout } from './mechanisms.js'
import type { FuzzMechanisms } from './mechanisms.js'
import { findViolations } from './oracle.js'
import { runFuzz, runSequence } from './runFuzz.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '100' },
    /** Name of a promise, or of a mechanism behind one, that is switched off. */
    without: { type: 'string' },
    commands: { type: 'string', default: '60' },
    /** Reports a broken promise as it was found. */
    unshortened: { type: 'boolean', default: false },
    seconds: { type: 'string', default: '300' },
    /** A sequence as the fuzzer printed it; it is run once and the state of every host is shown. */
    replay: { type: 'string' }
  }
})

function selectMechanisms (): FuzzMechanisms {
  if (values.without === undefined) return allMechanisms
  const found = mechanismsWithout[values.without]
  if (!found) throw new Error(`no mechanism "${values.without}" can be switched off; there are ${Object.keys(mechanismsWithout).join(', ')}`)
  return found.mechanisms
}

async function replaySequence (text: string): Promise<void> {
  const system = await runSequence(parseSequence(text), selectMechanisms())
  printStates(system)
  const violations = findViolations(system)
  for (const { promise, detail } of violations) console.log(`${promise}: ${detail}`)
  if (violations.length > 0) process.exitCode = 1
}

function printStates (system: FuzzSystem): void {
  for (const record of system.callers) console.log(JSON.stringify(record))
  for (const engine of system.engines.values()) console.log(engine.id, JSON.stringify(engine.isUp ? engine.readReport() : 'down'))
  for (const { host, task } of [...system.schedulers, ...system.gateways]) {
    console.log(host.id, host.state, JSON.stringify(task.describeState(), null, 1))
  }
}

async function runSeed (): Promise<void> {
  const startedMs = performance.now()
  const report = await runFuzz({
    seed: Number(values.seed),
    runs: Number(values.runs),
    maxCommands: Number(values.commands),
    maxSeconds: Number(values.seconds),
    isShortened: !values.unshortened,
    mechanisms: selectMechanisms()
  })
  const seconds = ((performance.now() - startedMs) / 1000).toFixed(1)
  console.log(`seed ${values.seed}: ${report.runs} runs in ${seconds} s; ${report.requests} requests: ${report.whole} whole, ` +
    `${report.failed} failed, ${report.cancelled} cancelled; ${report.jobs} jobs; ${report.calls} calls of services, ${report.callStarts} starts; ${report.loads} loads; ${report.engineStarts} starts on engines, ${report.engineCrashes} crashes`)
  if (!report.failure) return
  console.log(`broken: ${[...new Set(report.failure.promises)].join(', ')}\n${report.failure.message}`)
  console.log(`run it again with --replay '${report.failure.sequence}'`)
  process.exitCode = 1
}

await (values.replay === undefined ? runSeed() : replaySequence(values.replay))
