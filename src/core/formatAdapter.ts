/** The written form of an adapter's version and of a handle on an engine. */

/**
 * Formats an adapter's version as `adapter@version`.
 *
 * @example
 * formatAdapter('cluj-tax', '3') // 'cluj-tax@3'
 */
export function formatAdapter (adapter: string, version: string): string {
  return `${adapter}@${version}`
}

/**
 * Formats a handle, which no other load may use.
 *
 * @example
 * formatHandle('cluj-tax', '3', 812, 5) // 'cluj-tax@3#812.5'
 */
export function formatHandle (adapter: string, version: string, fencing: number, sequence: number): string {
  return `${adapter}@${version}#${fencing}.${sequence}`
}

export interface ParsedHandle {
  handle: string
  adapter: string
  version: string
  fencing: number
}

/** Reads a handle; undefined where it is not one of ours. */
export function parseHandle (handle: string): ParsedHandle | undefined {
  const match = /^([^@#]+)@([^@#]+)#(\d+)\.(\d+)$/.exec(handle)
  if (!match) return undefined
  return { handle, adapter: match[1]!, version: match[2]!, fencing: Number(match[3]) }
}
