/** Validates a change of the configuration against the records in force. */
import type { AdapterRecord, ConfigurationRecord, KeyRecord, RecordName } from '../../schemas/configuration.js'
import type { ChangeConflict, ChangeProblem, ChangeRequest, RecordVersion } from './configurationChange.js'
import type { MemoryConfiguration } from './memoryConfiguration.js'

/**
 * Lists the records whose version differs from the one that the change expects.
 *
 * @example
 * findConflicts(configuration, [{ kind: 'class', name: 'counter', version: 3 }])
 */
export function findConflicts (configuration: MemoryConfiguration, expected: RecordVersion[]): ChangeConflict[] {
  return expected.flatMap(({ kind, name, version }) => {
    const found = configuration.findRecord({ kind, name })
    if ((found?.version ?? 0) === version) return []
    return [{ kind, name, version: found?.version ?? 0, record: found?.record }]
  })
}

/** Lists the problems of a change: invalid records, and references that would be broken after it. */
export function findProblems (configuration: MemoryConfiguration, request: ChangeRequest): ChangeProblem[] {
  const recordsAfter = new RecordsAfterChange(configuration, request)
  return [
    ...findDuplicateNames(request),
    ...request.removes.filter(name => !configuration.findRecord(name)).map(createRecordNotFoundProblem),
    ...request.puts.flatMap(record => findRecordProblems(recordsAfter, record)),
    ...findBrokenReferences(configuration, recordsAfter, request.removes)
  ]
}

/** The records as they would be after the change. */
class RecordsAfterChange {
  #configuration: MemoryConfiguration
  #puts: Map<string, ConfigurationRecord>
  #removes: Set<string>
  #namesByHash = new Map<string, string>()

  constructor (configuration: MemoryConfiguration, request: ChangeRequest) {
    this.#configuration = configuration
    this.#puts = new Map(request.puts.map(record => [`${record.kind}/${record.name}`, record]))
    this.#removes = new Set(request.removes.map(({ kind, name }) => `${kind}/${name}`))
    for (const record of request.puts) {
      if (record.kind === 'key' && !this.#namesByHash.has(record.hash)) this.#namesByHash.set(record.hash, record.name)
    }
  }

  findRecord (name: RecordName): ConfigurationRecord | undefined {
    const key = `${name.kind}/${name.name}`
    if (this.#puts.has(key)) return this.#puts.get(key)
    return this.#removes.has(key) ? undefined : this.#configuration.findRecord(name)?.record
  }

  hasClass (name: string): boolean {
    return this.findRecord({ kind: 'class', name }) !== undefined
  }

  /** Finds the name of the key record that would have a hash after the change. */
  findNameByHash (hash: string): string | undefined {
    const put = this.#namesByHash.get(hash)
    if (put !== undefined) return put
    const previousRecord = this.#configuration.findKeyByHash(hash)
    const after = previousRecord && this.findRecord(previousRecord)
    return after?.kind === 'key' && after.hash === hash ? after.name : undefined
  }
}

function findRecordProblems (recordsAfter: RecordsAfterChange, record: ConfigurationRecord): ChangeProblem[] {
  if (record.kind === 'adapter') return findAdapterProblems(recordsAfter, record)
  return record.kind === 'key' ? findKeyProblems(recordsAfter, record) : []
}

function findAdapterProblems (recordsAfter: RecordsAfterChange, record: AdapterRecord): ChangeProblem[] {
  const problems = findDefaultClassProblems(recordsAfter, record)
  if (!record.versions.includes(record.currentVersion)) {
    const message = `current version "${record.currentVersion}" is not among the versions of adapter "${record.name}"`
    problems.push(createProblem(record, 'version_not_listed', message))
  }
  if (new Set(record.versions).size < record.versions.length) {
    problems.push(createProblem(record, 'version_repeated', `adapter "${record.name}" lists a version twice`))
  }
  return problems
}

function findKeyProblems (recordsAfter: RecordsAfterChange, record: KeyRecord): ChangeProblem[] {
  const problems = findDefaultClassProblems(recordsAfter, record)
  for (const name of record.classes) {
    if (name !== '*' && !recordsAfter.hasClass(name)) problems.push(createClassNotFoundProblem(record, name))
  }
  const owner = recordsAfter.findNameByHash(record.hash)
  if (owner !== undefined && owner !== record.name) {
    problems.push(createProblem(record, 'key_in_use', `key "${record.name}" has the same hash as key "${owner}"`))
  }
  return problems
}

function findDefaultClassProblems (recordsAfter: RecordsAfterChange, record: AdapterRecord | KeyRecord): ChangeProblem[] {
  const { defaultClass } = record
  return defaultClass === undefined || recordsAfter.hasClass(defaultClass) ? [] : [createClassNotFoundProblem(record, defaultClass)]
}

function findDuplicateNames (request: ChangeRequest): ChangeProblem[] {
  const seen = new Set<string>()
  return [...request.puts, ...request.removes].flatMap(({ kind, name }) => {
    if (seen.has(`${kind}/${name}`)) return [createProblem({ kind, name }, 'record_repeated', `the change contains ${kind} "${name}" twice`)]
    seen.add(`${kind}/${name}`)
    return []
  })
}

/** A class can be removed only if no remaining record refers to it. */
function findBrokenReferences (configuration: MemoryConfiguration, recordsAfter: RecordsAfterChange, removes: RecordName[]): ChangeProblem[] {
  const classes = new Set(removes.filter(name => name.kind === 'class').map(({ name }) => name))
  if (classes.size === 0) return []
  return configuration.listAll().flatMap(({ record }) => {
    const after = recordsAfter.findRecord(record)
    if (after?.kind !== 'adapter' && after?.kind !== 'key') return []
    const referencedClasses = after.kind === 'key' ? [after.defaultClass, ...after.classes] : [after.defaultClass]
    return referencedClasses.filter(name => name !== undefined && classes.has(name)).map(name => createProblem(
      { kind: 'class', name: name! }, 'class_in_use', `class "${name}" is referenced by ${after.kind} "${after.name}"`))
  })
}

function createClassNotFoundProblem (record: RecordName, className: string): ChangeProblem {
  return createProblem(record, 'class_not_found', `class "${className}" of ${record.kind} "${record.name}" does not exist`)
}

function createRecordNotFoundProblem (name: RecordName): ChangeProblem {
  return createProblem(name, 'record_not_found', `${name.kind} "${name.name}" does not exist`)
}

function createProblem ({ kind, name }: RecordName, code: string, message: string): ChangeProblem {
  return { kind, name, code, message }
}
