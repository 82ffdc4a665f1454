/** Says which setting named a port that could not be opened. */
import VError from 'verror'

/** Settings of any binary. */
export type Sections = Readonly<Record<string, Readonly<Record<string, unknown>>>>

export interface ListenAddress {
  address: string
  port: number
  section: string
  key: string
}

/** What would do in place of a port or address that cannot be opened. */
const expectations: Record<string, string> = {
  EADDRINUSE: 'a free port',
  EACCES: 'a port that the process may open',
  EADDRNOTAVAIL: 'an IP number of this machine'
}

/** Lists every address and port that settings have a process listen on; a `firstPort` stands for `count` of them. */
export function listListenAddresses (settings: Sections): ListenAddress[] {
  const listens: ListenAddress[] = []
  for (const [section, keys] of Object.entries(settings)) {
    const address = String(keys.address ?? settings.platform?.address ?? '127.0.0.1')
    if (typeof keys.port === 'number') listens.push({ address, port: keys.port, section, key: 'port' })
    const count = typeof keys.firstPort === 'number' ? Number(keys.count) : 0
    for (let index = 0; index < count; index++) {
      listens.push({ address, port: Number(keys.firstPort) + index, section, key: 'firstPort' })
    }
  }
  return listens.filter(({ section, key }) => settings[section]?.[key] !== 0)
}

/**
 * Describes a failure to listen by section, key and what is expected; undefined for any other error.
 *
 * @example
 * describePortInUse(settings, error) // '[callers] port is 7480, which cannot be opened (EADDRINUSE); expected a free port'
 */
export function describePortInUse (settings: Sections, error: Error): string | undefined {
  const code = readCode(error)
  const expected = expectations[code]
  if (expected === undefined) return undefined
  const port = readPort(error)
  const listen = listListenAddresses(settings).find(other => other.port === port)
  if (!listen) return `port ${port} cannot be opened (${code}); expected ${expected}`
  const { section, key, address } = listen
  if (code === 'EADDRNOTAVAIL') return `[${section}] address is ${address}, which cannot be opened (${code}); expected ${expected}`
  const value = settings[section]![key]
  const detail = value === port ? code : `${code} for ${port}`
  return `[${section}] ${key} is ${value}, which cannot be opened (${detail}); expected ${expected}`
}

function readCode (error: Error): string {
  const { code } = error as NodeJS.ErrnoException
  return code ?? String(VError.info(error).code ?? '')
}

function readPort (error: Error): number {
  const { port } = error as Error & { port?: number }
  return port ?? Number(/:(\d+)\b/.exec(error.message)?.[1] ?? 0)
}
