/** Text formats of an adapter version and of a handle, which names a loaded adapter on an engine. */

/**
 * Formats an adapter version as `adapter@version`.
 *
 * @example
 * formatAdapterVersion('cluj-tax', '3') // 'cluj-tax@3'
 */
export function formatAdapterVersion (adapter: string, version: string): string {
  return `${adapter}@${version}`
}

/**
 * Formats a handle. Each load uses a new handle, made unique by the fencing token and the sequence number.
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

/** Parses a handle; returns undefined if the text was not formatted by `formatHandle`. */
export function parseHandle (handle: string): ParsedHandle | undefined {
  const match = /^([^@#]+)@([^@#]+)#(\d+)\.(\d+)$/.exec(handle)
  if (!match) return undefined
  return { handle, adapter: match[1]!, version: match[2]!, fencing: Number(match[3]) }
}
