// Starts the host's bundle with its compiled code, so that a start does not compile it anew.
// Signals are kept before anything else is read, as reading the bundle takes most of a start on a busy machine.
require('./host/earlySignals.cjs').keepEarlySignals()
const { readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const bundleFile = join(__dirname, 'host', 'bundle.js')
const cacheFile = join(__dirname, 'host', 'bundle.cache')

const isCreating = process.env.SEDGEVALVE_CREATE_CODE_CACHE === '1'
const cachedData = isCreating ? undefined : readFileSync(cacheFile)
const script = new Script(readFileSync(bundleFile, 'utf8'), { filename: bundleFile, cachedData })
if (script.cachedDataRejected) process.stderr.write('sedgevalve-host: the compiled code does not fit this Node.js and its flags; compiling the bundle anew\n')
if (isCreating) process.once('exit', () => writeFileSync(cacheFile, script.createCachedData()))
script.runInThisContext()(require)
