/** What a command of the client is. */
import type { ParseArgsConfig } from 'node:util'
import type { OperatorsClient } from './operatorsClient.js'

export interface OptionDescription {
  type: 'string' | 'boolean'
  multiple?: boolean
  /** One line for `--help`. */
  help: string
}
export type OptionDescriptions = Record<string, OptionDescription>
export type OptionValues = Record<string, string | boolean | Array<string | boolean> | undefined>

export interface CommandOutput {
  /** Writes a line of the result. */
  print: (line: string) => void
  /** Writes a line of progress or warning, apart from the result. */
  printNote: (line: string) => void
}

export interface CommandContext extends CommandOutput {
  client: OperatorsClient
  positionals: string[]
  values: OptionValues
  isJson: boolean
  /** Aborted when the user ends a command that runs on. */
  signal: AbortSignal
  readFile: (path: string) => string
}

/** One action, such as `class set`. */
export interface Command {
  /** Words before the arguments, such as `['class', 'set']`. */
  words: string[]
  /** Names of the arguments, such as `['NAME']`. */
  arguments: string[]
  summary: string
  options: OptionDescriptions
  run: (context: CommandContext) => Promise<void>
}

/** Commands that need no system to talk to. */
export interface LocalCommand extends Omit<Command, 'run'> {
  runLocally: (context: Omit<CommandContext, 'client'>) => void
}

export type AnyCommand = Command | LocalCommand

export const sharedOptions: OptionDescriptions = {
  address: { type: 'string', help: 'ip:port of an operators\' port; default 127.0.0.1:7481' },
  config: { type: 'string', help: 'INI file with [operators] address and key; default ~/.sedgevalvectl.ini' },
  json: { type: 'boolean', help: 'prints JSON for scripts' },
  help: { type: 'boolean', help: 'prints this help' }
}

/** Turns descriptions into what `parseArgs` takes. */
export function createParseOptions (options: OptionDescriptions): NonNullable<ParseArgsConfig['options']> {
  return Object.fromEntries(Object.entries(options).map(([name, { type, multiple }]) => [name, { type, multiple: multiple ?? false }]))
}

/** Reads an option that may stand once. */
export function readOption (values: OptionValues, name: string): string | undefined {
  const value = values[name]
  return typeof value === 'string' ? value : undefined
}

/** Reads an option that is a list, given in commas or several times; undefined where it is absent. */
export function readListOption (values: OptionValues, name: string): string[] | undefined {
  const value = values[name]
  if (value === undefined || typeof value === 'boolean') return undefined
  const parts = Array.isArray(value) ? value : [value]
  return parts.flatMap(part => String(part).split(',')).map(part => part.trim()).filter(part => part !== '')
}
