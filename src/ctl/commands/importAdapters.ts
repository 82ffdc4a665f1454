/** `sedgevalvectl adapter import`: thousands of adapters in one change, all or none. */
import { Value } from '@sinclair/typebox/value'
import { adapterRecordSchema } from '../../schemas/configuration.js'
import type { AdapterRecord } from '../../schemas/configuration.js'
import type { ChangeProgress } from '../../tasks/configuration/configurationChange.js'
import { changeRecords } from '../changeRecords.js'
import { createClientError } from '../clientError.js'
import type { CommandContext } from '../command.js'

const columns = ['name', 'baseModel', 'versions', 'currentVersion', 'defaultClass']
const progressStep = 2000
const progressIntervalMs = 500
const maxListedErrors = 10

/**
 * Reads and checks the whole file before anything is sent. CSV has the heading `name,baseModel,versions,currentVersion,defaultClass`
 * with versions apart by spaces; JSON is a list of objects with these fields, `versions` being a list.
 */
export async function importAdapters (context: CommandContext): Promise<void> {
  const file = context.positionals[0]!
  const records = parseAdapters(file, context.readFile(file), context.printNote)
  context.printNote(`${file}: ${records.length} adapters are right; sending them as one change.`)
  const ended = new AbortController()
  const progress = showProgress(context, ended.signal)
  try {
    await changeRecords(context, { puts: records, removes: [], ifVersions: [] })
  } finally {
    ended.abort()
    await progress
  }
}

/** Prints what the gateway tells of the change until that has ended, each step once. */
async function showProgress ({ client, printNote }: CommandContext, ended: AbortSignal): Promise<void> {
  for (let shown = ''; !ended.aborted;) {
    const answer = await client.read('/api/changes').catch(() => undefined) as { change: ChangeProgress | null } | undefined
    const line = answer?.change ? renderProgress(answer.change) : ''
    if (line !== '' && line !== shown && !ended.aborted) printNote(line)
    shown = line
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        resolve()
      }
      const timer = setTimeout(finish, progressIntervalMs)
      ended.addEventListener('abort', finish, { once: true })
    })
  }
}

/**
 * Renders how far the gateway has come with a change.
 *
 * @example
 * renderProgress({ step: 'writing', records: 3000, writtenRecords: 2000, schedulers: 9, confirmedSchedulers: 0 })
 */
export function renderProgress (progress: ChangeProgress): string {
  const { step, records, writtenRecords, schedulers, confirmedSchedulers } = progress
  switch (step) {
    case 'reading': return `The gateway checks ${records} records against the configuration in force.`
    case 'writing': return `The gateway has written ${writtenRecords} of ${records} records.`
    case 'confirming': return `The change is written and in force on ${confirmedSchedulers} of ${schedulers} schedulers.`
  }
}

/**
 * Parses a file of adapters. Throws a usage error that names the first wrong lines.
 *
 * @example
 * parseAdapters('a.csv', 'name,baseModel,versions,currentVersion,defaultClass\nkit,base-1,1 2,2,', () => {})
 */
export function parseAdapters (file: string, text: string, printNote: (line: string) => void): AdapterRecord[] {
  const rows = file.endsWith('.json') ? parseJson(file, text) : parseCsv(file, text)
  const errors: string[] = []
  const names = new Set<string>()
  const records = rows.map((row, index) => {
    const error = findRowError(row.fields, names)
    if (error) errors.push(`${file}, ${row.place}: ${error}`)
    names.add(String(row.fields.name))
    if ((index + 1) % progressStep === 0) printNote(`${file}: ${index + 1} of ${rows.length} adapters checked.`)
    return { kind: 'adapter', ...row.fields } as AdapterRecord
  })
  if (errors.length > 0) {
    const more = errors.length > maxListedErrors ? [`and ${errors.length - maxListedErrors} more`] : []
    throw createClientError('usage', ['nothing was sent, since the file is wrong:', ...errors.slice(0, maxListedErrors), ...more].join('\n  '))
  }
  return records
}

interface Row {
  place: string
  fields: Record<string, unknown>
}

function findRowError (fields: Record<string, unknown>, names: Set<string>): string | undefined {
  const record = { kind: 'adapter', ...fields }
  if (!Value.Check(adapterRecordSchema, record)) {
    const error = Value.Errors(adapterRecordSchema, record).First()
    return `field "${error?.path.slice(1) ?? ''}" is wrong: ${error?.message.toLowerCase() ?? 'unknown'}`
  }
  if (!record.versions.includes(record.currentVersion)) return `current version "${record.currentVersion}" is not among the versions`
  return names.has(record.name) ? `adapter "${record.name}" stands twice` : undefined
}

function parseJson (file: string, text: string): Row[] {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    throw createClientError('usage', `${file} is not JSON: ${(error as Error).message}`)
  }
  if (!Array.isArray(value)) throw createClientError('usage', `${file} is not a JSON list of adapters`)
  return value.map((fields, index) => ({ place: `entry ${index + 1}`, fields: fields as Record<string, unknown> }))
}

function parseCsv (file: string, text: string): Row[] {
  const lines = text.split(/\r?\n/)
  const heading = (lines[0] ?? '').split(',').map(name => name.trim())
  const unknown = heading.find(name => !columns.includes(name))
  if (unknown !== undefined || !heading.includes('name')) {
    throw createClientError('usage', `${file}: the first line is wrong; expected the heading ${columns.join(',')}`)
  }
  return lines.flatMap((line, index) => {
    if (index === 0 || line.trim() === '') return []
    return [{ place: `line ${index + 1}`, fields: parseLine(heading, line) }]
  })
}

function parseLine (heading: string[], line: string): Record<string, unknown> {
  const cells = line.split(',').map(cell => cell.trim())
  const fields: Record<string, unknown> = {}
  for (const [index, name] of heading.entries()) {
    const cell = cells[index] ?? ''
    if (name === 'versions') fields[name] = cell.split(' ').filter(version => version !== '')
    else if (cell !== '') fields[name] = cell
  }
  fields.currentVersion ??= (fields.versions as string[] | undefined)?.at(-1)
  if (cells.length > heading.length) fields[`column ${heading.length + 1}`] = cells[heading.length]
  return fields
}
