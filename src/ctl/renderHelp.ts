/** Help texts of the client. */
import type { AnyCommand } from './command.js'
import { sharedOptions } from './command.js'
import { exitCodes } from './clientError.js'

const programName = 'sedgevalvectl'

/** Renders the list of commands, or of the actions that begin with a word. */
export function renderHelp (commands: AnyCommand[], word?: string): string {
  const shown = commands.filter(command => word === undefined || command.words[0] === word)
  const lines = shown.map(command => [formatUsage(command), command.summary] as const)
  const width = Math.max(...lines.map(([usage]) => usage.length))
  return [
    `${programName}: the operators' client of sedgevalve`, '',
    ...lines.map(([usage, summary]) => `  ${usage.padEnd(width)}  ${summary}`), '',
    'Options of every command:', ...renderOptions(sharedOptions), '',
    `${programName} --check FILE.ini checks a settings file; ${programName} --version names the version.`,
    `Exit codes: ${Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(', ')}`,
    `See "${programName} COMMAND --help" for the options of one.`
  ].join('\n')
}

/** Renders the help of one action. */
export function renderCommandHelp (command: AnyCommand): string {
  return [
    `${programName} ${formatUsage(command)}`, `  ${command.summary}`, '',
    ...(Object.keys(command.options).length > 0 ? ['Options:', ...renderOptions(command.options), ''] : []),
    'Options of every command:', ...renderOptions(sharedOptions)
  ].join('\n')
}

/** Formats the words and arguments of an action. */
export function formatUsage (command: AnyCommand): string {
  return [...command.words, ...command.arguments].join(' ')
}

function renderOptions (options: AnyCommand['options']): string[] {
  const width = Math.max(...Object.keys(options).map(name => name.length))
  return Object.entries(options).map(([name, { help }]) => `  --${name.padEnd(width)}  ${help}`)
}
