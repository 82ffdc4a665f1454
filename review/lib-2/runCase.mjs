/** Runs one case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

const maxCaseMs = 110_000
const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP']

/**
 * `run` gets `{ isTroubled, record, addCleanup }` and returns the breaks of the rule that it saw, as lines of text.
 */
export async function runCase (folder, run) {
  const output = createWriteStream(join(folder, 'record.txt'))
  const startedAtMs = performance.now()
  const record = text => { output.write(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}\n`) }
  const cleanups = []
  const isTroubled = process.env.TROUBLE !== '0'
  let code = 2
  // A fault of the stand-ins, or a signal, ends the case like one that could not run.
  const limit = new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('the case took too long')), maxCaseMs).unref()
    for (const signal of endingSignals) process.on(signal, () => reject(new Error(`the case got ${signal}`)))
    for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, reject)
  })
  try {
    record(`disruption: ${isTroubled ? 'on' : 'off'}`)
    const breaks = await Promise.race([run({ isTroubled, record, addCleanup: cleanup => cleanups.push(cleanup) }), limit])
    for (const text of breaks) record(`BROKEN ${text}`)
    code = breaks.length > 0 ? 1 : 0
  } catch (error) {
    record(`could not run: ${error.stack}`)
  }
  for (const cleanup of cleanups.reverse()) {
    try {
      await cleanup()
    } catch (error) {
      record(`cleanup failed: ${error.message}`)
    }
  }
  record(`result: ${['the rule held', 'the rule was broken', 'could not run'][code]}`)
  await new Promise(resolve => output.end(resolve))
  console.log(['held', 'broken', 'could not run'][code])
  process.exit(code)
}
