/** `sedgevalvectl adapter`: adapters, one by one or many from a file. */
import type { AdapterRecord } from '../../schemas/configuration.js'
import { createClientError } from '../clientError.js'
import { readListOption, readOption } from '../command.js'
import type { Command, OptionValues } from '../command.js'
import { createRecordCommands } from '../recordKind.js'
import { importAdapters } from './importAdapters.js'

const importCommand: Command = {
  words: ['adapter', 'import'],
  arguments: ['FILE'],
  summary: 'registers the adapters of a CSV or JSON file, all or none',
  options: {},
  run: importAdapters
}

export const adapterCommands: Command[] = [...createRecordCommands<AdapterRecord>({
  kind: 'adapter',
  columns: ['base model', 'versions', 'current', 'class'],
  renderColumns: record => [record.baseModel, record.versions.join(' '), record.currentVersion, record.defaultClass ?? ''],
  setOptions: {
    'base-model': { type: 'string', help: 'the base model that the adapter belongs to' },
    versions: { type: 'string', multiple: true, help: 'all versions, in commas' },
    current: { type: 'string', help: 'the version that a bare adapter name means; default the last of --versions' },
    'default-class': { type: 'string', help: 'class of requests that name none; "" takes it away' }
  },
  buildRecord: resolveAdapter
}), importCommand]

function resolveAdapter (name: string, before: AdapterRecord | undefined, values: OptionValues): AdapterRecord {
  const versions = readListOption(values, 'versions')
  const baseModel = readOption(values, 'base-model') ?? before?.baseModel
  const allVersions = versions ?? before?.versions
  if (baseModel === undefined || allVersions === undefined) {
    throw createClientError('usage', `adapter "${name}" does not exist yet; give --base-model and --versions`)
  }
  const kept = before && allVersions.includes(before.currentVersion) ? before.currentVersion : undefined
  const currentVersion = readOption(values, 'current') ?? kept ?? allVersions.at(-1)!
  const defaultClass = readOption(values, 'default-class') ?? before?.defaultClass
  return { kind: 'adapter', name, baseModel, versions: allVersions, currentVersion, ...(defaultClass && { defaultClass }) }
}
