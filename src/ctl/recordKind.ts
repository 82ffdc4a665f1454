/** Builds the commands `list`, `show`, `set` and `remove` of one kind of record. */
import type { ConfigurationKind, ConfigurationRecord } from '../schemas/configuration.js'
import type { RecordVersion } from '../tasks/configuration/configurationChange.js'
import { changeRecords } from './changeRecords.js'
import { createClientError } from './clientError.js'
import { readOption } from './command.js'
import type { Command, CommandContext, OptionDescriptions, OptionValues } from './command.js'
import { formatCell, renderTable } from './renderTable.js'

/** What is special about a kind. */
export interface RecordKind<T extends ConfigurationRecord> {
  kind: T['kind'] & ConfigurationKind
  /** Columns of `list` after the name and before the version. */
  columns: string[]
  renderColumns: (record: T) => unknown[]
  setOptions: OptionDescriptions
  /** Builds the record that `set` puts; options that are absent keep what the record has. */
  buildRecord: (name: string, before: T | undefined, values: OptionValues, context: CommandContext) => T
}

export const ifVersionOption: OptionDescriptions = {
  'if-version': { type: 'string', help: 'changes only where the record still has this version; 0 where it must not exist' }
}

/** Builds the four commands of a kind. */
export function createRecordCommands<T extends ConfigurationRecord> (kind: RecordKind<T>): Command[] {
  const word = kind.kind
  return [
    { words: [word, 'list'], arguments: [], summary: `lists every ${word}`, options: {}, run: async context => await listRecords(kind, context) },
    { words: [word, 'show'], arguments: ['NAME'], summary: `shows one ${word}`, options: {}, run: async context => await showRecord(kind, context) },
    {
      words: [word, 'set'],
      arguments: ['NAME'],
      summary: `registers or changes one ${word}`,
      options: { ...kind.setOptions, ...ifVersionOption },
      run: async context => await setRecord(kind, context)
    },
    {
      words: [word, 'remove'],
      arguments: ['NAME'],
      summary: `removes one ${word}`,
      options: ifVersionOption,
      run: async context => await removeRecord(kind.kind, context)
    }
  ]
}

async function listRecords<T extends ConfigurationRecord> (kind: RecordKind<T>, context: CommandContext): Promise<void> {
  const records = await context.client.listRecords(kind.kind)
  if (context.isJson) {
    context.print(JSON.stringify(records))
    return
  }
  const rows = records.map(({ version, record }) => [record.name, ...kind.renderColumns(record as T), version])
  context.print(renderTable(['name', ...kind.columns, 'version'], rows))
}

async function showRecord<T extends ConfigurationRecord> (kind: RecordKind<T>, context: CommandContext): Promise<void> {
  const name = context.positionals[0]!
  const found = await context.client.findRecord(kind.kind, name)
  if (!found) throw createNotFound(kind.kind, name)
  if (context.isJson) {
    context.print(JSON.stringify(found))
    return
  }
  const cells = kind.renderColumns(found.record as T)
  context.print(`name: ${name}`)
  kind.columns.forEach((column, index) => context.print(`${column}: ${formatCell(cells[index])}`))
  context.print(`version: ${found.version}`)
}

async function setRecord<T extends ConfigurationRecord> (kind: RecordKind<T>, context: CommandContext): Promise<void> {
  const name = context.positionals[0]!
  const found = await context.client.findRecord(kind.kind, name)
  const record = kind.buildRecord(name, found?.record as T | undefined, context.values, context)
  const expected: RecordVersion = { kind: kind.kind, name, version: resolveIfVersion(context.values) ?? found?.version ?? 0 }
  await changeRecords(context, { puts: [record], removes: [], ifVersions: [expected] })
}

async function removeRecord (kind: ConfigurationKind, context: CommandContext): Promise<void> {
  const name = context.positionals[0]!
  const found = await context.client.findRecord(kind, name)
  if (!found) throw createNotFound(kind, name)
  const expected: RecordVersion = { kind, name, version: resolveIfVersion(context.values) ?? found.version }
  await changeRecords(context, { puts: [], removes: [{ kind, name }], ifVersions: [expected] })
}

/** Reads `--if-version`; undefined where it is absent. */
export function resolveIfVersion (values: OptionValues): number | undefined {
  const text = readOption(values, 'if-version')
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw createClientError('usage', `--if-version "${text}" is wrong; expected a whole number from 0`)
  return Number(text)
}

export function createNotFound (kind: ConfigurationKind, name: string): Error {
  return createClientError('refused', `${kind} "${name}" does not exist; "sedgevalvectl ${kind} list" shows those that do`)
}
