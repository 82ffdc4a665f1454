/** Runs one command of the operators' client. */
import { parseArgs } from 'node:util'
import { productVersion } from '../constants.js'
import { allCommands } from './allCommands.js'
import { createClientError, exitCodes, findExitCode } from './clientError.js'
import { checkFileSettings, resolveClientSettings } from './clientSettings.js'
import { createParseOptions, readOption, sharedOptions } from './command.js'
import type { AnyCommand, CommandOutput, OptionValues } from './command.js'
import { OperatorsClient } from './operatorsClient.js'
import { formatUsage, renderCommandHelp, renderHelp } from './renderHelp.js'

export interface ClientEnvironment extends CommandOutput {
  environment: Record<string, string | undefined>
  /** Aborted when the user ends the client. */
  signal: AbortSignal
  /** Reads a text file; `-` is the standard input. */
  readFile: (path: string) => string
}

/**
 * Runs a command line; resolves to the exit code.
 *
 * @example
 * process.exitCode = await runClient(['class', 'list'], environment)
 */
export async function runClient (words: string[], environment: ClientEnvironment): Promise<number> {
  try {
    if (words[0] === '--version') environment.print(`sedgevalvectl ${productVersion}`)
    else if (words[0] === '--check') printCheck(words[1], environment)
    else await runCommand(words, environment)
    return exitCodes.done
  } catch (error) {
    environment.printNote(`sedgevalvectl: ${(error as Error).message}`)
    return findExitCode(error as Error)
  }
}

function printCheck (file: string | undefined, environment: ClientEnvironment): void {
  if (file === undefined) throw createClientError('usage', 'no settings file is named; run "sedgevalvectl --check FILE.ini"')
  checkFileSettings(file)
  environment.print(`${file}: the settings are right`)
}

async function runCommand (words: string[], environment: ClientEnvironment): Promise<void> {
  const command = findCommand(words)
  if (!command) {
    printHelpOrFail(words, environment)
    return
  }
  const { values, positionals } = parseCommandLine(command, words.slice(command.words.length))
  if (values.help === true) {
    environment.print(renderCommandHelp(command))
    return
  }
  if (positionals.length !== command.arguments.length) {
    throw createClientError('usage', `expected "sedgevalvectl ${formatUsage(command)}"; see --help`)
  }
  const context = { ...environment, positionals, values, isJson: values.json === true, readFile: createReader(environment) }
  if ('runLocally' in command) {
    command.runLocally(context)
    return
  }
  const sources = { environment: environment.environment, address: readOption(values, 'address'), file: readOption(values, 'config') }
  await command.run({ ...context, client: new OperatorsClient(resolveClientSettings(sources)) })
}

function findCommand (words: string[]): AnyCommand | undefined {
  return allCommands.find(command => command.words.every((word, index) => words[index] === word))
}

/** Turns a file that cannot be read into a usage error. */
function createReader (environment: ClientEnvironment): (path: string) => string {
  return path => {
    try {
      return environment.readFile(path)
    } catch (error) {
      throw createClientError('usage', `file "${path}" cannot be read (${(error as NodeJS.ErrnoException).code})`)
    }
  }
}

function printHelpOrFail (words: string[], environment: ClientEnvironment): void {
  const [word, action] = words
  const isAsked = word === undefined || word === '--help' || word === 'help'
  const isGroup = allCommands.some(command => command.words[0] === word)
  if (isAsked) environment.print(renderHelp(allCommands))
  else if (isGroup && (action === undefined || action === '--help')) environment.print(renderHelp(allCommands, word))
  else if (isGroup) throw createClientError('usage', `"${word} ${action}" is no command; see "sedgevalvectl ${word} --help"`)
  else throw createClientError('usage', `"${word}" is no command; see "sedgevalvectl --help"`)
}

function parseCommandLine (command: AnyCommand, args: string[]): { values: OptionValues, positionals: string[] } {
  try {
    const options = createParseOptions({ ...command.options, ...sharedOptions })
    const { values, positionals } = parseArgs({ args, options, allowPositionals: true })
    return { values: values as OptionValues, positionals }
  } catch (error) {
    throw createClientError('usage', `${(error as Error).message.split('.')[0]}; see "sedgevalvectl ${command.words.join(' ')} --help"`)
  }
}
