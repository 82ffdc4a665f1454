/** Describes which setting contains an address or port that cannot be opened. */
import VError from 'verror'

/** Settings of any of the binaries, by section and key. */
export type SettingsSections = Readonly<Record<string, Readonly<Record<string, unknown>>>>

export interface ListenAddress {
  address: string
  port: number
  section: string
  key: string
}

/** The expected setting, by the error code of a failure to listen. */
const expectedSettings: Record<string, string> = {
  EADDRINUSE: 'a free port',
  EACCES: 'a port that the process is permitted to open',
  EADDRNOTAVAIL: 'an IP number of this machine'
}

/** Lists every address and port that a process with these settings listens on; `firstPort` begins a range of `count` ports. */
export function listListenAddresses (settings: SettingsSections): ListenAddress[] {
  const listenAddresses: ListenAddress[] = []
  for (const [section, keys] of Object.entries(settings)) {
    const address = String(keys.address ?? settings.platform?.address ?? '127.0.0.1')
    if (typeof keys.port === 'number') listenAddresses.push({ address, port: keys.port, section, key: 'port' })
    const count = typeof keys.firstPort === 'number' ? Number(keys.count) : 0
    for (let index = 0; index < count; index++) {
      listenAddresses.push({ address, port: Number(keys.firstPort) + index, section, key: 'firstPort' })
    }
  }
  return listenAddresses.filter(({ section, key }) => settings[section]?.[key] !== 0)
}

/**
 * Describes a failure to listen by section, key and the expected value; undefined for any other error.
 *
 * @example
 * describeListenError(settings, error) // '[callers] port is 7480, which cannot be opened (EADDRINUSE); expected a free port'
 */
export function describeListenError (settings: SettingsSections, error: Error): string | undefined {
  const code = getErrorCode(error)
  const expected = expectedSettings[code]
  if (expected === undefined) return undefined
  const port = getErrorPort(error)
  const listenAddress = listListenAddresses(settings).find(candidate => candidate.port === port)
  if (!listenAddress) return `port ${port} cannot be opened (${code}); expected ${expected}`
  const { section, key, address } = listenAddress
  if (code === 'EADDRNOTAVAIL') return `[${section}] address is ${address}, which cannot be opened (${code}); expected ${expected}`
  const value = settings[section]![key]
  const detail = value === port ? code : `${code} for ${port}`
  return `[${section}] ${key} is ${value}, which cannot be opened (${detail}); expected ${expected}`
}

function getErrorCode (error: Error): string {
  const { code } = error as NodeJS.ErrnoException
  return code ?? String(VError.info(error).code ?? '')
}

function getErrorPort (error: Error): number {
  const { port } = error as Error & { port?: number }
  return port ?? Number(/:(\d+)\b/.exec(error.message)?.[1] ?? 0)
}
