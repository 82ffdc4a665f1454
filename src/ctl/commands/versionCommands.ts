/** `sedgevalvectl version`: the versions of one adapter. */
import type { AdapterRecord, VersionedRecord } from '../../schemas/configuration.js'
import { changeRecords } from '../changeRecords.js'
import { createClientError } from '../clientError.js'
import type { Command, CommandContext } from '../command.js'
import { createNotFound, ifVersionOption, resolveIfVersion } from '../recordKind.js'
import { renderTable } from '../renderTable.js'

export const versionCommands: Command[] = [
  { words: ['version', 'list'], arguments: ['ADAPTER'], summary: 'lists the versions of an adapter', options: {}, run: listVersions },
  { words: ['version', 'show'], arguments: ['ADAPTER', 'VERSION'], summary: 'shows one version of an adapter', options: {}, run: showVersion },
  {
    words: ['version', 'set'],
    arguments: ['ADAPTER', 'VERSION'],
    summary: 'registers a version, and makes it current with --current',
    options: { current: { type: 'boolean', help: 'a bare adapter name means this version from now on' }, ...ifVersionOption },
    run: setVersion
  },
  { words: ['version', 'remove'], arguments: ['ADAPTER', 'VERSION'], summary: 'removes a version that is not current', options: ifVersionOption, run: removeVersion }
]

async function findAdapter (context: CommandContext): Promise<VersionedRecord & { record: AdapterRecord }> {
  const name = context.positionals[0]!
  const found = await context.client.findRecord('adapter', name)
  if (found?.record.kind !== 'adapter') throw createNotFound('adapter', name)
  return { version: found.version, record: found.record }
}

async function listVersions (context: CommandContext): Promise<void> {
  const { record } = await findAdapter(context)
  const rows = record.versions.map(version => ({ adapter: record.name, version, isCurrent: version === record.currentVersion }))
  if (context.isJson) context.print(JSON.stringify(rows))
  else context.print(renderTable(['version', 'current'], rows.map(row => [row.version, row.isCurrent ? 'yes' : ''])))
}

async function showVersion (context: CommandContext): Promise<void> {
  const { record } = await findAdapter(context)
  const version = checkVersion(record, context.positionals[1]!)
  const shown = { adapter: record.name, version, isCurrent: version === record.currentVersion, baseModel: record.baseModel }
  if (context.isJson) context.print(JSON.stringify(shown))
  else Object.entries(shown).forEach(([name, value]) => context.print(`${name}: ${value}`))
}

async function setVersion (context: CommandContext): Promise<void> {
  const found = await findAdapter(context)
  const version = context.positionals[1]!
  const { record } = found
  const versions = record.versions.includes(version) ? record.versions : [...record.versions, version]
  const currentVersion = context.values.current === true ? version : record.currentVersion
  await changeAdapter(context, found.version, { ...record, versions, currentVersion })
}

async function removeVersion (context: CommandContext): Promise<void> {
  const found = await findAdapter(context)
  const { record } = found
  const version = checkVersion(record, context.positionals[1]!)
  if (version === record.currentVersion) {
    throw createClientError('refused', `version "${version}" is the current one of adapter "${record.name}"; make another current first`)
  }
  await changeAdapter(context, found.version, { ...record, versions: record.versions.filter(other => other !== version) })
}

function checkVersion (record: AdapterRecord, version: string): string {
  if (record.versions.includes(version)) return version
  throw createClientError('refused', `version "${version}" does not exist in adapter "${record.name}"; it has ${record.versions.join(', ')}`)
}

async function changeAdapter (context: CommandContext, readVersion: number, record: AdapterRecord): Promise<void> {
  const version = resolveIfVersion(context.values) ?? readVersion
  await changeRecords(context, { puts: [record], removes: [], ifVersions: [{ kind: 'adapter', name: record.name, version }] })
}
