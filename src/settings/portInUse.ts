/** Says which setting named a port that could not be opened. */

import VError from 'verror'

/** Settings of any binary. */
export type Sections = Readonly<Record<string, Readonly<Record<string, unknown>>>>

interface PortSetting {
  section: string
  key: string
  value: number
}

/** Errors of a port or address that the machine does not give. */
const openErrors: Record<string, string> = {
  EADDRINUSE: 'a free port',
  EACCES: 'a port that the process may open',
  EADDRNOTAVAIL: 'an IP number of this machine'
}

/**
 * Describes a failure to listen by section, key and what is expected; undefined for any other error.
 *
 * @example
 * describePortInUse(settings, error) // '[callers] port is 7480, which is in use (EADDRINUSE); expected a free port'
 */
export function describePortInUse (settings: Sections, error: Error): string | undefined {
  const code = readCode(error)
  const expected = openErrors[code]
  if (expected === undefined) return undefined
  const port = readPort(error)
  const setting = findPortSetting(settings, port)
  if (!setting) return `port ${port} cannot be opened (${code}); expected ${expected}`
  const { section, key, value } = setting
  const address = code === 'EADDRNOTAVAIL' ? `[${section}] address is ${String(settings[section]?.address)}` : `[${section}] ${key} is ${value}`
  const detail = value === port || code === 'EADDRNOTAVAIL' ? code : `${code} for ${port}`
  return `${address}, which cannot be opened (${detail}); expected ${expected}`
}

function readCode (error: Error): string {
  const { code } = error as NodeJS.ErrnoException
  return code ?? String(VError.info(error).code ?? '')
}

function readPort (error: Error): number {
  const { port } = error as Error & { port?: number }
  return port ?? Number(/:(\d+)\b/.exec(error.message)?.[1] ?? 0)
}

/** The setting with this port, or the one that begins the range it falls into. */
function findPortSetting (settings: Sections, port: number): PortSetting | undefined {
  const found: PortSetting[] = []
  for (const [section, keys] of Object.entries(settings)) {
    for (const [key, value] of Object.entries(keys)) {
      if (/port$/i.test(key) && typeof value === 'number' && value !== 0 && value <= port) found.push({ section, key, value })
    }
  }
  return found.sort((left, right) => right.value - left.value).find(({ key, value }) => value === port || key === 'firstPort')
}
