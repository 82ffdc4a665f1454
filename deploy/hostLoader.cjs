// Starts the host's bundle with its compiled code, so that a start does not compile it anew.
// Signals are kept before anything else is read, as reading the bundle takes most of a start on a busy machine.
require('./host/earlySignals.cjs').keepEarlySignals()
const { readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const bundleFile = join(__dirname, 'host', 'bundle.js')
const cacheFile = join(__dirname, 'host', 'bundle.cache')

const isCreating = process.env.SEDGEVALVE_CREATE_CODE_CACHE === '1'
const cachedData = isCreating ? undefined : readCache()
const script = new Script(readFileSync(bundleFile, 'utf8'), { filename: bundleFile, cachedData })
if (script.cachedDataRejected) warn('the compiled code does not fit this Node.js and its flags; compiling the bundle anew')
if (isCreating) process.once('exit', () => writeFileSync(cacheFile, script.createCachedData()))
script.runInThisContext()(require)

/** Returns undefined if the compiled code cannot be read: a host starts without it, only later. */
function readCache () {
  try {
    return readFileSync(cacheFile)
  } catch (error) {
    warn(`the compiled code cannot be read (${error.code}); compiling the bundle anew`)
    return undefined
  }
}

/** Without a listener, an error of stderr would end the process. */
function warn (text) {
  process.stderr.once('error', () => {})
  process.stderr.write(`sedgevalve-host: ${text}\n`)
}
