/** What a soak saw from outside: callers' answers, endpoints' runs, and what struck the system when. */
import type { FleetAnswer } from '../src/standin/fleet/fleetCaller.js'
import type { RunRecord } from '../src/standin/fleet/runJournal.js'
import type { SlowOutcome } from './slowCaller.js'
import type { ChangeKind, FaultKind } from './soakPlan.js'

/** All times are milliseconds of the soak's own steady clock. */
export interface SoakCall {
  answer: FleetAnswer
  host: string
  /** Which start of the host's process took it. */
  life: number
  adapter: string | undefined
  /** Account that endpoints must see; empty if the key is unknown, undefined if there are no accounts. */
  account?: string | undefined
  startedAtMs: number
  /** When the request before it on its connection had its answer; `startedAtMs` where there is none. */
  turnAtMs: number
  endedAtMs: number
  /** Id of the request whose answer broke off before it on its connection. */
  cutBy?: string
  /**
   * `calm`: sent after all faults, when the system must serve again; `crashing`: crashes the engine that runs it; `pipelined`: by a raw connection;
   * `halfClosed`: by one whose caller ended its side behind the request; `overLimit`: with a body that is too large;
   * `behindStream`: on a connection on which a stream, noted as `pipelined`, is still read; `slow`: for a long answer, by a caller with its own way of reading.
   */
  purpose: 'load' | 'calm' | 'crashing' | 'pipelined' | 'halfClosed' | 'overLimit' | 'behindStream' | 'slow'
  /** Of slow callers; their answers hold no body. */
  slow?: SlowOutcome
}

export interface FaultSpan {
  kind: FaultKind | ChangeKind
  /** The host that it struck; undefined where it struck an endpoint or the store. */
  host: string | undefined
  /** The endpoint that it struck, or whose link. */
  endpointId?: string
  fromMs: number
  toMs: number
}

/** A question whether a host knows a route that came with a version of the configuration. */
export interface RouteProbe {
  host: string
  life: number
  version: number
  status: number
  askedAtMs: number
  endedAtMs: number
}

export interface ProcessEnd {
  host: string
  /** Time of day, as in the host's lines. */
  at: string
  /** Last line that it wrote. */
  lastLine: string
  /** Undefined where a signal ended it. */
  code: number | undefined
  signal: string | undefined
  /** What the soak had asked for. */
  asked: 'nothing' | 'kill' | 'stop'
  /** From the signal to the end. */
  tookMs: number
}

export interface SoakBounds {
  timeoutMs: number
  patienceMs: number
  drainMs: number
  configurationMs: number
  versionMs: number
  shutdownMs: number
  retryShare: number
  retryExtra: number
  retryWindowMs: number
  memoryMb: number
  maxDescriptors: number
}

export interface SoakRecord {
  bounds: SoakBounds
  calls: SoakCall[]
  runs: readonly RunRecord[]
  /** What engines saw that no host may do. */
  violations: { rule: 'overfull' | 'fencing', detail: string }[]
  spans: FaultSpan[]
  probes: RouteProbe[]
  /** Ids of requests that probes sent. */
  probeIds: Set<string>
  configurations: { version: number, atMs: number }[]
  versions: { adapter: string, version: number, atMs: number }[]
  leaving: { endpointId: string, atMs: number }[]
  ends: ProcessEnd[]
  /** What hosts held of request bodies once every caller had its answer; undefined where a running host did not tell. */
  heldBytes: { host: string, bytes: number | undefined }[]
  /** Most that any host's process took. */
  peakMemoryMb: number
  peakDescriptors: number
}

/** A record of a soak in which nothing has happened yet; `runs` is the journal of the endpoints. */
export function createSoakRecord (bounds: SoakBounds, runs: readonly RunRecord[]): SoakRecord {
  return {
    bounds, runs, calls: [], violations: [], spans: [], probes: [], probeIds: new Set(), configurations: [], versions: [], leaving: [], ends: [], heldBytes: [], peakMemoryMb: 0, peakDescriptors: 0
  }
}
