/** Compares two versions of a configuration field by field, entries of lists by their names. */
import type { Difference } from './checkFinding.js'

type Entry = Record<string, unknown>

/** Names of members that are compared in a way of their own. */
export interface ComparedNames {
  /** Lists of which only the number of added and removed values is reported. */
  readonly secretField: string
  /** Members that name an entry of a list; the first one that an entry has does. */
  readonly nameFields: readonly string[]
}

/**
 * Lists what was added, removed and changed.
 *
 * @example
 * compareConfigurations({ routes: [{ name: 'a', priority: 0 }] }, { routes: [{ name: 'a', priority: 1 }] }, comparedNames)
 * // [{ path: 'routes "a".priority', change: 'changed', before: 0, after: 1 }]
 */
export function compareConfigurations (before: unknown, after: unknown, names: ComparedNames): Difference[] {
  return compareValues('', before, after, names)
}

function compareValues (path: string, before: unknown, after: unknown, names: ComparedNames): Difference[] {
  if (path.endsWith(`.${names.secretField}`)) return compareSecrets(path, ensureList(before), ensureList(after))
  if (before === undefined || after === undefined) return describeWhole(path, before, after, names)
  if (Array.isArray(before) && Array.isArray(after)) return compareLists(path, before as Entry[], after as Entry[], names)
  if (isEntry(before) && isEntry(after)) {
    const members = new Set([...Object.keys(before), ...Object.keys(after)])
    return [...members].flatMap(name => compareValues(path === '' ? name : `${path}.${name}`, before[name], after[name], names))
  }
  return before === after ? [] : [{ path, change: 'changed', before, after }]
}

/** A list appears and goes entry by entry, any other entry as a whole. */
function describeWhole (path: string, before: unknown, after: unknown, names: ComparedNames): Difference[] {
  if (before === after) return []
  const whole: Difference = { path, change: before === undefined ? 'added' : 'removed' }
  if (Array.isArray(before ?? after)) return [whole, ...compareLists(path, ensureList(before) as Entry[], ensureList(after) as Entry[], names)]
  return [isEntry(before ?? after) ? whole : { ...whole, ...(before !== undefined && { before }), ...(after !== undefined && { after }) }]
}

function compareLists (path: string, before: readonly Entry[], after: readonly Entry[], names: ComparedNames): Difference[] {
  const [entriesBefore, entriesAfter] = [collectEntries(before, names), collectEntries(after, names)]
  return [...new Set([...entriesBefore.keys(), ...entriesAfter.keys()])].flatMap((name): Difference[] => {
    const [entryBefore, entryAfter] = [entriesBefore.get(name), entriesAfter.get(name)]
    const entryPath = `${path} ${name}`
    if (!entryBefore || !entryAfter) return [{ path: entryPath, change: entryBefore ? 'removed' : 'added' }]
    return compareValues(entryPath, entryBefore, entryAfter, names)
  })
}

/** Indexes entries by name; further ones of a name are counted. */
function collectEntries (entries: readonly Entry[], { nameFields }: ComparedNames): Map<string, Entry> {
  const counts = new Map<string, number>()
  return new Map(entries.map(entry => {
    const field = nameFields.find(name => entry[name] !== undefined)
    const name = `"${String(field && entry[field])}"`
    const count = (counts.get(name) ?? 0) + 1
    counts.set(name, count)
    return [count === 1 ? name : `${name} #${count}`, entry]
  }))
}

function compareSecrets (path: string, before: readonly unknown[], after: readonly unknown[]): Difference[] {
  const [known, current] = [new Set(before), new Set(after)]
  const added = [...current].filter(secret => !known.has(secret)).length
  const removed = [...known].filter(secret => !current.has(secret)).length
  return added + removed === 0 ? [] : [{ path, change: 'changed', before: `${known.size} in all`, after: `${current.size} in all, ${added} added, ${removed} removed` }]
}

function ensureList (value: unknown): unknown[] {
  return Array.isArray(value) ? value : []
}

function isEntry (value: unknown): value is Entry {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
