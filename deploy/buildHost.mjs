// Builds the host's program into target/, or the folder that is given: one bundle, its compiled code, and the loader that starts both.
// The folder lies in the repository, as the warm-up needs the installed packages.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync, rmSync, statSync } from 'node:fs'
import { build } from 'esbuild'
import { assertionNames } from './nameAssertions.mjs'

const folder = process.argv[2] ?? 'target'
const loader = `${folder}/sedgevalve-host.cjs`
const warmUp = `${folder}/warmHost.mjs`
const cacheFile = `${folder}/host/bundle.cache`
const earlySignals = `${folder}/host/earlySignals.cjs`

await build({
  entryPoints: ['src/bin/runHost.ts'],
  outfile: `${folder}/host/bundle.js`,
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'iife',
  banner: { js: '(function (require) {' },
  footer: { js: '})' },
  alias: {
    undici: './deploy/undiciClients.cjs', 'node:assert': './deploy/assert.cjs', assert: './deploy/assert.cjs', 'node:http2': './deploy/http2.cjs'
  },
  plugins: [assertionNames],
  logLevel: 'error'
})
await build({ entryPoints: ['src/bin/earlySignals.ts'], outfile: earlySignals, minify: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'error' })
mkdirSync(folder, { recursive: true })
copyFileSync('deploy/hostLoader.cjs', loader)

// Compiled code fits only the flags that it was made with. What a host runs while it serves is compiled too.
const flags = readFileSync('deploy/system.toml', 'utf8').match(/^run = "node (.*) target\//m)[1].split(' ')
const createCodeCache = { ...process.env, SEDGEVALVE_CREATE_CODE_CACHE: '1' }
// The host ends at once, as --help asks for no start; the second host of the warm-up needs some compiled code.
execFileSync(process.execPath, [...flags, loader, '--help'], { env: createCodeCache, stdio: ['ignore', 'ignore', 'inherit'] })
const startBytes = statSync(cacheFile).size
await build({
  entryPoints: ['deploy/warmHost.ts'], outfile: warmUp, bundle: true, platform: 'node', target: 'node20', format: 'esm', packages: 'external', logLevel: 'error'
})
try {
  execFileSync(process.execPath, [warmUp, loader, ...flags], { stdio: 'inherit' })
} catch (error) {
  // A host without it serves as well; its first requests take longer.
  process.stderr.write(`sedgevalve-host: the warm-up failed, so that only the code of a start is compiled: ${error.message}\n`)
} finally {
  rmSync(warmUp)
}
process.stdout.write(`compiled code: ${startBytes} bytes for a start, ${statSync(cacheFile).size} with what a host runs while it serves\n`)
