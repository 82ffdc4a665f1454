/** A small busy system: many adapters on few slots, requests of all kinds and faults at fixed requests. */
import type { ConfigurationRecord } from '../../src/schemas/configuration.js'
import type { RunningStandins } from '../../src/bin/startStandins.js'
import type { FaultChange } from '../../src/standin/engineFaults.js'
import type { CallOptions } from '../../playground/callerLoad.js'

export const adapterCount = 6

/** Long enough for the slowest machine; the latency target does not matter in these tests. */
const targetMs = 300_000

export function createAdapterRecord (index: number, currentVersion: string): ConfigurationRecord {
  return {
    kind: 'adapter', name: `adapter-${index}`, baseModel: 'base-1', versions: ['1', '2'], currentVersion, defaultClass: 'patient'
  }
}

export const busyRecords: ConfigurationRecord[] = [
  { kind: 'class', name: 'patient', target: { kind: 'firstTokenWithin', ms: targetMs } },
  ...Array.from({ length: adapterCount }, (_, index) => createAdapterRecord(index, '1'))
]

/** Every third request names its version; every fourth is not streamed. */
export function createBusyCall (url: string, index: number): CallOptions {
  const adapter = `adapter-${index * 7 % adapterCount}`
  return {
    url,
    model: index % 3 === 0 ? `${adapter}@${index % 2 + 1}` : adapter,
    maxTokens: 6 + index % 5,
    isStream: index % 4 !== 0,
    prompt: `question ${index}`
  }
}

/** Switched when the request with this number, counted round 30, is sent. */
const faultsByRequest: Record<number, FaultChange> = {
  3: { cutStreams: { count: 2, afterTokens: 3 } },
  8: { lateFrames: 1 },
  11: { failLoads: { count: 1 } },
  14: { duplicateFrames: 2 },
  19: { cutStreams: { count: 2, afterTokens: 1 } },
  27: { restart: true }
}

/** The prompt of one request that restarts every engine that runs it. */
const crashMarker = 'question 23'

/** Switches the fault that belongs to a request, on the engines in turn. */
export function switchFault (standins: RunningStandins, index: number): void {
  if (index === 0) for (const engine of standins.engines) engine.setFaults({ crashMarker })
  const change = faultsByRequest[index % 30]
  if (change) standins.engines[Math.floor(index / 30) % standins.engines.length]!.setFaults(change)
}
