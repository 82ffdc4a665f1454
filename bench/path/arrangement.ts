/** Gateway, scheduler and stand-ins as processes of their own. */
import { createHttpPlatform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { startBinary } from './childProcesses.js'
import type { BenchProcess } from './childProcesses.js'

/** Distances from the callers' port. */
const platformOffset = 10
const engineOffset = 120
/** Requests that an engine runs at once; the streams of the largest load fill two engines. */
const batchLimit = 220
const key = 'bench-peer-key-0000'
export const model = 'cluj-tax'
export const callerHeaders = { authorization: `Bearer ${exampleCallerKey}` }

export interface Arrangement {
  callersPort: number
  enginePort: number
  standin: BenchProcess
  scheduler: BenchProcess
  gateway: BenchProcess
}

export interface ArrangementOptions {
  callersPort: number
  /** Whether gateway and scheduler can be asked for profiles and memory. */
  isProbed: boolean
}

/** Starts a platform with one engine; an engine writes each token by itself, so that one fills a core before a host does. */
async function startStandin (platformPort: number, enginePort: number): Promise<BenchProcess> {
  return await startBinary('standin', `
[platform]
port = ${platformPort}
[engines]
count = 1
firstPort = ${enginePort}
batchLimit = ${batchLimit}
stepBaseMs = 1
stepPerRequestMs = 0
prefillPerTokenMs = 0
[store]
loadMs = 10`, /Stand-ins run/)
}

/** Starts a second engine in a process of its own and puts it on the list of hosts. */
export async function addEngine ({ callersPort, enginePort }: Arrangement): Promise<BenchProcess> {
  const platformPort = callersPort + platformOffset
  const standin = await startStandin(platformPort + 1, enginePort + 1)
  const platform = createHttpPlatform(`127.0.0.1:${platformPort}`)
  const [entry] = (await platform.hostList.listEntries()).filter(({ kind }) => kind === 'engine')
  await platform.hostList.announceEntry({ ...entry!, id: 'engine-2', address: `127.0.0.1:${enginePort + 1}` })
  await platform.close()
  return standin
}

/** Starts the processes. */
export async function startArrangement ({ callersPort, isProbed }: ArrangementOptions): Promise<Arrangement> {
  const platformPort = callersPort + platformOffset
  const enginePort = callersPort + engineOffset
  const platform = `[platform]\naddress = 127.0.0.1:${platformPort}\n`
  const standin = await startStandin(platformPort, enginePort)
  const scheduler = await startBinary('scheduler',
    `[host]\nid = scheduler-1\nzone = az-1\n${platform}[peers]\nport = 0\nkey = ${key}\n`, /takes links/, isProbed)
  const gateway = await startBinary('gateway',
    `[host]\nid = gateway-1\nzone = az-1\n${platform}[peers]\nkey = ${key}\n[callers]\nport = ${callersPort}\n[operators]\nport = 0\n`,
    /takes callers/, isProbed)
  return { callersPort, enginePort, standin, scheduler, gateway }
}

/** Ends the processes gracefully. */
export async function stopArrangement ({ gateway, scheduler, standin }: Arrangement): Promise<void> {
  for (const process of [gateway, scheduler, standin]) await process.stop()
}
