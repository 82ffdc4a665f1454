/** The configuration in force on this host, in memory. */
import type {
  AdapterRecord, ClassRecord, ConfigurationKind, ConfigurationRecord, ConfigurationView, EndpointRecord, KeyRecord, ServiceRecord
} from '../../schemas/configuration.js'

/** Holds records by kind and name; versions only rise. */
export class MemoryConfiguration implements ConfigurationView {
  #records = new Map<string, ConfigurationRecord>()
  #keysByHash = new Map<string, KeyRecord>()
  #sortedNames = new Map<ConfigurationKind, string[]>()
  #version = 0

  get version (): number {
    return this.#version
  }

  /** Puts records in force; returns false, and changes nothing, where the version is not newer. */
  applyRecords (version: number, records: ConfigurationRecord[]): boolean {
    if (version <= this.#version) return false
    this.#version = version
    for (const record of records) this.#setRecord(Object.freeze(record))
    return true
  }

  findClass (name: string): ClassRecord | undefined {
    return this.#records.get(`class/${name}`) as ClassRecord | undefined
  }

  findAdapter (name: string): AdapterRecord | undefined {
    return this.#records.get(`adapter/${name}`) as AdapterRecord | undefined
  }

  findService (name: string): ServiceRecord | undefined {
    return this.#records.get(`service/${name}`) as ServiceRecord | undefined
  }

  findEndpoint (name: string): EndpointRecord | undefined {
    return this.#records.get(`endpoint/${name}`) as EndpointRecord | undefined
  }

  findKeyByHash (hash: string): KeyRecord | undefined {
    return this.#keysByHash.get(hash)
  }

  listRecords (kind: ConfigurationKind, after: string, limit: number): ConfigurationRecord[] {
    const names = this.#listNames(kind)
    const start = names.findIndex(name => name > after)
    if (start < 0) return []
    return names.slice(start, start + limit).map(name => this.#records.get(`${kind}/${name}`)!)
  }

  #setRecord (record: ConfigurationRecord): void {
    const key = `${record.kind}/${record.name}`
    const before = this.#records.get(key)
    if (before?.kind === 'key') this.#keysByHash.delete(before.hash)
    if (!before) this.#sortedNames.delete(record.kind)
    this.#records.set(key, record)
    if (record.kind === 'key') this.#keysByHash.set(record.hash, record)
  }

  #listNames (kind: ConfigurationKind): string[] {
    const known = this.#sortedNames.get(kind)
    if (known) return known
    const names = [...this.#records.values()].filter(record => record.kind === kind).map(record => record.name).sort()
    this.#sortedNames.set(kind, names)
    return names
  }
}
