import { availableParallelism } from 'node:os'

const processesVariable = 'TEST_PROCESSES'

/** Processes that run scenarios side by side: half of the processors, unless the environment says otherwise. */
function readProcessCount () {
  const text = process.env[processesVariable]
  if (text === undefined) return Math.max(1, Math.floor(availableParallelism() / 2))
  if (/^[1-9]\d*$/.test(text)) return Number(text)
  process.stderr.write(`${processesVariable} is a whole number of 1 or more, not "${text}"\n`)
  process.exit(2)
}

export default {
  // Paths on the command line replace the default ones.
  paths: process.argv.some(argument => argument.includes('.feature')) ? [] : ['features/**/*.feature'],
  import: ['dist/features/support/**/*.js', 'dist/features/steps/**/*.js'],
  format: ['./dist/features/support/plainSummary.js'],
  parallel: readProcessCount(),
  // Scenarios that KNOWN-RED.txt lists are left out; KNOWN_RED=1 runs them alone.
  tags: process.env.KNOWN_RED === undefined ? 'not @knownRed' : '@knownRed',
  strict: true
}
