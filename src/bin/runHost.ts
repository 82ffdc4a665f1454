/** `sedgevalve-host`: the program that runs on every host of the users' platform. */
import { parseArgs } from 'node:util'
import { productVersion } from '../constants.js'
import { createSettingsError } from '../settings/settingsError.js'
import { exitWithError, runUntilStopped } from './processExit.js'
import type { RunningProcess } from './processExit.js'
import type { HostOptions } from './startHost.js'

const name = 'sedgevalve-host'
const help = `${name}: serves callers on one host of the users' platform; the platform provides the path of the settings file

  ${name} [--metrics PORT]   runs the host; serves metrics on this port of the host's address
  ${name} --version
  ${name} --help
`
const maxPort = 65_535

async function run (): Promise<void> {
  try {
    const { values } = parseArgs({ options: { metrics: { type: 'string' }, help: { type: 'boolean', short: 'h' }, version: { type: 'boolean' } } })
    if (values.help || values.version) {
      process.stdout.write(values.help ? help : `${name} ${productVersion}\n`)
      return
    }
    const options = values.metrics === undefined ? {} : { metricsPort: parsePort(values.metrics) }
    await runUntilStopped(async stopSignal => await loadAndStartHost(stopSignal, options))
  } catch (error) {
    exitWithError(name, error as Error)
  }
}

/** Loads the host's modules only when a stop can end the start, as loading takes a large part of it. */
async function loadAndStartHost (stopSignal: AbortSignal, options: HostOptions): Promise<RunningProcess> {
  const [{ createSystemClock }, { waitForHostSettings }, { startHost }] = await Promise.all([
    import('../adapters/clock/systemClock.js'), import('../platform/hostSettings.js'), import('./startHost.js')
  ])
  const clock = createSystemClock()
  return await startHost(await waitForHostSettings(clock, stopSignal), clock, { ...options, stopSignal })
}

function parsePort (text: string): number {
  const port = Number(text)
  if (!Number.isInteger(port) || port < 1 || port > maxPort) throw createSettingsError(`--metrics names no port: "${text}"; a port is a whole number from 1 to ${maxPort}`)
  return port
}

run()
