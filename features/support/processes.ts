/** A small system of real processes on free ports. */
import { startBinary } from '../../bench/path/childProcesses.js'
import type { BenchProcess } from '../../bench/path/childProcesses.js'
import { formatEndpointKey } from '../../src/schemas/ownershipRows.js'
import type { EndpointRow } from '../../src/schemas/ownershipRows.js'
import type { JournalEntry } from '../../src/standin/engineModel.js'

const peerKey = 'failover-peer-key'

export interface ProcessSystem {
  /** `ip:port` of the platform. */
  platform: string
  /** `ip:port` of each engine. */
  engines: string[]
  schedulers: BenchProcess[]
  gateways: BenchProcess[]
  /** `http://ip:port` of each gateway. */
  urls: string[]
  stop: () => Promise<void>
}

export interface ProcessCounts {
  engines: number
  schedulers: number
  gateways: number
  /** Further lines of the engines' settings. */
  engineSettings?: string
}

/** Starts stand-ins, schedulers and gateways, each from its own settings. */
export async function startProcesses (counts: ProcessCounts): Promise<ProcessSystem> {
  const standin = await startBinary('standin', formatStandin(counts), /the platform at (\S+),/)
  const platform = standin.line[1]!
  const startAll = async (binary: string, count: number, format: (index: number) => string, pattern: RegExp): Promise<BenchProcess[]> =>
    await Promise.all(Array.from({ length: count }, async (_, index) => await startBinary(binary, format(index + 1), pattern)))
  const schedulers = await startAll('scheduler', counts.schedulers, index => formatScheduler(index, platform), /takes links of peers on port (\d+)\./)
  const gateways = await startAll('gateway', counts.gateways, index => formatGateway(index, platform), /takes callers on port (\d+)\./)
  const response = await fetch(`http://${platform}/hosts`)
  const entries = await response.json() as Array<{ kind: string, address: string }>
  return {
    platform,
    engines: entries.filter(({ kind }) => kind === 'engine').map(({ address }) => address),
    schedulers,
    gateways,
    urls: gateways.map(({ line }) => `http://127.0.0.1:${line[1]}`),
    stop: async () => { await Promise.all([...gateways, ...schedulers, standin].map(async child => await child.kill())) }
  }
}

export function formatStandin ({ engines, engineSettings = '' }: ProcessCounts): string {
  return `[platform]\nport = 0\nlistLagMs = 20\n[engines]\ncount = ${engines}\nfirstPort = 0\nstepBaseMs = 4\n${engineSettings}\n` +
    '[store]\nloadMs = 20\nloadsPerSecond = 200\nloadsAtFullSpeed = 20\n'
}

function formatHost (name: string, index: number, platform: string): string {
  return `[host]\nid = ${name}-${index}\nzone = az-${index}\n[platform]\naddress = ${platform}\n`
}

export function formatScheduler (index: number, platform: string): string {
  return `${formatHost('scheduler', index, platform)}[peers]\nport = 0\nkey = ${peerKey}\n[store]\nloadsPerSecond = 200\nloadsAtFullSpeed = 20\n`
}

export function formatGateway (index: number, platform: string): string {
  return `${formatHost('gateway', index, platform)}[peers]\nkey = ${peerKey}\n[callers]\nport = 0\n[operators]\nport = 0\n`
}

/** Reads which scheduler owns each endpoint by the platform's table. */
export async function readOwners (platform: string): Promise<Array<string | undefined>> {
  const response = await fetch(`http://${platform}/table/list`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ prefix: formatEndpointKey(''), after: '', limit: 100 })
  })
  return (await response.json() as Array<{ value: EndpointRow }>).map(({ value }) => value.owner?.hostId)
}

/** Reads the journal of each engine. */
export async function readJournals (engines: string[]): Promise<JournalEntry[][]> {
  return await Promise.all(engines.map(async address => {
    const response = await fetch(`http://${address}/journal`)
    return (await response.json() as { entries: JournalEntry[] }).entries
  }))
}
