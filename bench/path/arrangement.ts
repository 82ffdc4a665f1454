/** Gateway, scheduler and stand-ins as processes of their own. */
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { startBinary } from './childProcesses.js'
import type { BenchProcess } from './childProcesses.js'

/** Distances from the callers' port. */
const platformOffset = 10
const engineOffset = 120
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

/** Starts the processes. */
export async function startArrangement ({ callersPort, isProbed }: ArrangementOptions): Promise<Arrangement> {
  const platformPort = callersPort + platformOffset
  const enginePort = callersPort + engineOffset
  const platform = `[platform]\naddress = 127.0.0.1:${platformPort}\n`
  const standin = await startBinary('standin', `
[platform]
port = ${platformPort}
[engines]
count = 1
firstPort = ${enginePort}
batchLimit = 4000
stepBaseMs = 1
stepPerRequestMs = 0
prefillPerTokenMs = 0
[store]
loadMs = 10`, /Stand-ins run/)
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
