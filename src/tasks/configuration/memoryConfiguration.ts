/** The configuration in force on this host, in memory. */
import type {
  AdapterRecord, ClassRecord, ConfigurationChange, ConfigurationKind, ConfigurationRecord, ConfigurationView, EndpointRecord,
  KeyRecord, RecordName, ServiceRecord, VersionedRecord
} from '../../schemas/configuration.js'

export interface MemoryConfigurationOptions {
  /** Whether every accepted change is certainly in force; by default always. */
  isCurrent?: () => boolean
  /** Whether a change that leads to version `next` may be applied to `version`; by default `isNextVersion`. */
  isNext?: (version: number, next: number) => boolean
}

/** Whether `next` directly follows `version`, so that changes are applied in order, each once. */
export function isNextVersion (version: number, next: number): boolean {
  return next === version + 1
}

/** Holds the records by kind and name. The version only increases. */
export class MemoryConfiguration implements ConfigurationView {
  #records = new Map<string, VersionedRecord>()
  #keysByHash = new Map<string, KeyRecord>()
  #sortedNames = new Map<ConfigurationKind, string[]>()
  #version = 0
  #isCurrent: () => boolean
  #isNext: (version: number, next: number) => boolean

  constructor (options: MemoryConfigurationOptions = {}) {
    this.#isCurrent = options.isCurrent ?? (() => true)
    this.#isNext = options.isNext ?? isNextVersion
  }

  get version (): number {
    return this.#version
  }

  isCurrent (): boolean {
    return this.#isCurrent()
  }

  /** Applies records; returns false, and changes nothing, if the version is not newer. */
  applyRecords (version: number, records: ConfigurationRecord[]): boolean {
    if (version <= this.#version) return false
    this.#version = version
    for (const record of records) this.#setRecord({ version, record })
    return true
  }

  /** Applies a change; returns false, and changes nothing, if it is not the next one. */
  applyChange (change: ConfigurationChange): boolean {
    if (!this.#isNext(this.#version, change.version)) return false
    this.#version = change.version
    for (const name of change.removes) this.#removeRecord(name)
    for (const record of change.puts) this.#setRecord({ version: change.version, record })
    return true
  }

  /** Replaces all records; returns false, and changes nothing, if the version is not newer. */
  applySnapshot (version: number, records: VersionedRecord[]): boolean {
    if (version <= this.#version) return false
    this.#version = version
    this.#records.clear()
    this.#keysByHash.clear()
    this.#sortedNames.clear()
    for (const record of records) this.#setRecord(record)
    return true
  }

  findRecord (name: RecordName): VersionedRecord | undefined {
    return this.#records.get(formatKey(name))
  }

  findClass (name: string): ClassRecord | undefined {
    return this.findRecord({ kind: 'class', name })?.record as ClassRecord | undefined
  }

  findAdapter (name: string): AdapterRecord | undefined {
    return this.findRecord({ kind: 'adapter', name })?.record as AdapterRecord | undefined
  }

  findService (name: string): ServiceRecord | undefined {
    return this.findRecord({ kind: 'service', name })?.record as ServiceRecord | undefined
  }

  findEndpoint (name: string): EndpointRecord | undefined {
    return this.findRecord({ kind: 'endpoint', name })?.record as EndpointRecord | undefined
  }

  findKeyByHash (hash: string): KeyRecord | undefined {
    return this.#keysByHash.get(hash)
  }

  listRecords (kind: ConfigurationKind, after: string, limit: number): ConfigurationRecord[] {
    return this.listVersioned(kind, after, limit).map(({ record }) => record)
  }

  /** Like `listRecords`, with the version of each record. */
  listVersioned (kind: ConfigurationKind, after: string, limit: number): VersionedRecord[] {
    const names = this.#listSortedNames(kind)
    const start = names.findIndex(name => name > after)
    if (start < 0) return []
    return names.slice(start, start + limit).map(name => this.#records.get(`${kind}/${name}`)!)
  }

  /** Lists every record, in no particular order. */
  listAll (): VersionedRecord[] {
    return [...this.#records.values()]
  }

  #setRecord (versioned: VersionedRecord): void {
    const { record } = versioned
    const previous = this.#records.get(formatKey(record))
    if (previous?.record.kind === 'key') this.#keysByHash.delete(previous.record.hash)
    if (!previous) this.#sortedNames.delete(record.kind)
    this.#records.set(formatKey(record), Object.freeze({ ...versioned, record: Object.freeze(record) }))
    if (record.kind === 'key') this.#keysByHash.set(record.hash, record)
  }

  #removeRecord (name: RecordName): void {
    const previous = this.findRecord(name)
    if (previous?.record.kind === 'key') this.#keysByHash.delete(previous.record.hash)
    this.#records.delete(formatKey(name))
    this.#sortedNames.delete(name.kind)
  }

  #listSortedNames (kind: ConfigurationKind): string[] {
    const cachedNames = this.#sortedNames.get(kind)
    if (cachedNames) return cachedNames
    const names = this.listAll().filter(({ record }) => record.kind === kind).map(({ record }) => record.name).sort()
    this.#sortedNames.set(kind, names)
    return names
  }
}

function formatKey ({ kind, name }: RecordName): string {
  return `${kind}/${name}`
}
