/** Runs the check of a configuration from its command line. */
import { parseArgs } from 'node:util'
import { productVersion } from '../constants.js'
import type { CheckedConfiguration, DecodedConfiguration } from '../core/configurationCheck/checkFinding.js'
import { checkConfiguration } from '../core/configurationCheck/checkConfiguration.js'
import { renderReport } from '../core/configurationCheck/renderReport.js'
import { formatCell } from '../ctl/renderTable.js'
import { comparedNames, readConfigurationDocument } from '../platform/readConfigurationDocument.js'
import { createSettingsError } from '../settings/settingsError.js'

export interface CheckEnvironment {
  /** Throws if the file cannot be read. */
  readFile: (path: string) => Uint8Array
  print: (line: string) => void
  printError: (line: string) => void
}

const name = 'sedgevalve-check'
const help = `${name}: checks a configuration of the platform before it is sent; it sends and changes nothing

  ${name} [--json] NEW [IN_FORCE]   checks the file NEW, and compares it with the version in force
  ${name} --version
  ${name} --help

Both files hold the configuration as it is stored for hosts, in JSON.
Exit codes: 0 no errors, 1 errors in the configuration, 2 wrong command line or a file that cannot be read`

const exitCodes = Object.freeze({ noErrors: 0, errors: 1, unusable: 2 })

/**
 * Runs a command line; returns the exit code.
 *
 * @example
 * process.exitCode = runCheck(['new.json', 'in-force.json'], environment)
 */
export function runCheck (words: string[], environment: CheckEnvironment): number {
  try {
    const { values, positionals } = parseCommandLine(words)
    if (values.help || values.version) {
      environment.print(values.help ? help : `${name} ${productVersion}`)
      return exitCodes.noErrors
    }
    const [newFile, inForceFile, ...others] = positionals
    if (newFile === undefined || others.length > 0) throw createSettingsError(`expected one or two files; see "${name} --help"`)
    const [newBytes = Buffer.alloc(0), ...inForceBytes] = positionals.map(file => readBytes(file, environment.readFile))
    const checked = readConfigurationDocument(newBytes, inForceBytes)
    const inForce = inForceBytes.map(bytes => requireDecoded(inForceFile!, readConfigurationDocument(bytes, [newBytes])))[0]
    const report = checkConfiguration(checked, inForce, comparedNames)
    if (values.json) environment.print(JSON.stringify(report, undefined, 2))
    else for (const line of renderReport(newFile, report, checked.decoded !== undefined)) environment.print(formatCell(line))
    return report.errors.length === 0 ? exitCodes.noErrors : exitCodes.errors
  } catch (error) {
    environment.printError(formatCell(`${name}: ${(error as Error).message}`))
    return exitCodes.unusable
  }
}

function parseCommandLine (args: string[]) {
  try {
    return parseArgs({ args, allowPositionals: true, options: { json: { type: 'boolean' }, help: { type: 'boolean', short: 'h' }, version: { type: 'boolean' } } })
  } catch (error) {
    throw createSettingsError(`${(error as Error).message.split('.')[0]}; see "${name} --help"`)
  }
}

function readBytes (file: string, readFile: CheckEnvironment['readFile']): Uint8Array {
  try {
    return readFile(file)
  } catch (error) {
    throw createSettingsError(`file "${file}" cannot be read (${(error as NodeJS.ErrnoException).code})`)
  }
}

/** Without a version that hosts can have in force there is nothing to compare with. */
function requireDecoded (file: string, { decoded, errors: [first] }: CheckedConfiguration): DecodedConfiguration {
  if (decoded) return decoded
  throw createSettingsError(`file "${file}" holds no configuration that can be in force: ${[first?.path, first?.message].filter(Boolean).join(': ')}`)
}
