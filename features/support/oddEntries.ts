/** Entries that another writer has left among those of endpoints. */

const nestingDepth = 200_000

/**
 * Returns the text of an entry whose `version` is nested deeper than a call stack is.
 *
 * @example
 * createDeepEntryText({ service: 's' }) // '{"service":"s","version":[[[…]]]}'
 */
export function createDeepEntryText (entry: object): string {
  return `${JSON.stringify(entry).slice(0, -1)},"version":${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}}`
}
