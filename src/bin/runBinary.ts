/** Runs a daemon: handles its command line, settings file and signals. */
import { parseArgs } from 'node:util'
import type { Static, TObject } from '@sinclair/typebox'
import { productVersion } from '../constants.js'
import { enableLogs } from '../createLog.js'
import { checkPorts } from './checkPorts.js'
import { describeListenError } from '../settings/listenError.js'
import type { SettingsSections } from '../settings/listenError.js'
import { readSettings } from '../settings/readSettings.js'
import { createSettingsError } from '../settings/settingsError.js'
import { exitWithError, runUntilStopped } from './processExit.js'
import type { RunningProcess } from './processExit.js'

export interface BinaryOptions<T extends TObject> {
  name: string
  /** One line for the help text that describes what the binary does. */
  purpose: string
  schema: T
  start: (settings: Readonly<Static<T>>) => Promise<RunningProcess>
}

/** Runs a daemon until SIGINT or SIGTERM. */
export async function runBinary<T extends TObject> (options: BinaryOptions<T>): Promise<void> {
  try {
    const { values, positionals } = parseCommandLine(options.name)
    if (values.help) {
      process.stdout.write(renderHelp(options))
      return
    }
    if (values.version) {
      process.stdout.write(`${options.name} ${productVersion}\n`)
      return
    }
    const file = positionals[0]
    if (file === undefined) throw createSettingsError(`no settings file is named; run "${options.name} FILE.ini"`)
    const settings = readSettings(file, options.schema)
    if (values.check) {
      process.stdout.write(`${file}: the settings are right\n`)
      return
    }
    await checkPorts(file, settings as SettingsSections)
    enableLogs()
    await runUntilStopped(async () => await startDaemon(file, options, settings))
  } catch (error) {
    exitWithError(options.name, error as Error)
  }
}

function parseCommandLine (name: string) {
  try {
    return parseArgs({
      allowPositionals: true,
      options: { help: { type: 'boolean', short: 'h' }, version: { type: 'boolean' }, check: { type: 'boolean' } }
    })
  } catch (error) {
    throw createSettingsError(`${(error as Error).message}; see "${name} --help"`)
  }
}

function renderHelp (options: BinaryOptions<TObject>): string {
  return [
    `${options.name}: ${options.purpose}`, '',
    `  ${options.name} FILE.ini           runs with these settings`,
    `  ${options.name} --check FILE.ini   checks the settings and exits`,
    `  ${options.name} --version`,
    `  ${options.name} --help`, ''
  ].join('\n')
}

/** Starts the daemon. Reports a port in use as an error of the settings that name the port. */
async function startDaemon<T extends TObject> (
  file: string, options: BinaryOptions<T>, settings: Readonly<Static<T>>
): Promise<RunningProcess> {
  try {
    return await options.start(settings)
  } catch (error) {
    const message = describeListenError(settings as SettingsSections, error as Error)
    if (message !== undefined) throw createSettingsError(`${file}: ${message}`)
    throw error
  }
}
