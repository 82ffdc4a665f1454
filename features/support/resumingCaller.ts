/** A caller that takes its streams up again at other hosts as they break off, and what came of them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { encodeResumptionHeaders } from '../../src/platform/standinWire.js'
import { createRequestId, listEventIds, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { RunRecord } from '../../src/standin/fleet/runJournal.js'
import { pickRunning } from './hostsWorld.js'
import type { HostsWorld } from './hostsWorld.js'

/** One stream over all attempts of its caller. */
export interface TakenUpStream {
  /** Attempts in order; the first one is not a take-up. */
  attempts: FleetAnswer[]
  /** Id of the attempt that brought the first event; undefined if none has come. */
  firstId: string | undefined
  lastEventId: number
}

const maxTakeUps = 3

export class ResumingCaller {
  readonly streams: TakenUpStream[] = []
  #world: HostsWorld
  #nextHost = 0

  constructor (world: HostsWorld) {
    this.#world = world
  }

  /** Begins a stream; `leaveAfterMs`: the caller loses its connection after this time, though not before an event has come. */
  async begin (adapter: string, leaveAfterMs?: number): Promise<TakenUpStream> {
    const stream: TakenUpStream = { attempts: [], firstId: undefined, lastEventId: 0 }
    this.streams.push(stream)
    await this.#attempt(stream, adapter, {}, leaveAfterMs)
    return stream
  }

  /** Takes a broken stream up at the next hosts until it ends, or is refused, too often. */
  async takeUp (stream: TakenUpStream, adapter: string): Promise<void> {
    for (let count = 0; count < maxTakeUps && !looksWhole(stream.attempts.at(-1)!); count++) {
      const last = stream.attempts.at(-1)!
      if (last.status === 503) await sleep((last.retryAfterS ?? 0.1) * 1000)
      const headers = stream.firstId === undefined ? {} : encodeResumptionHeaders(stream.firstId, stream.lastEventId)
      await this.#attempt(stream, adapter, headers)
    }
  }

  async run (adapter: string): Promise<void> {
    await this.takeUp(await this.begin(adapter), adapter)
  }

  /** Sends one take-up with headers of the caller's choice. */
  async send (stream: TakenUpStream, adapter: string, headers: Record<string, string>): Promise<FleetAnswer> {
    await this.#attempt(stream, adapter, headers)
    return stream.attempts.at(-1)!
  }

  async #attempt (stream: TakenUpStream, adapter: string, headers: Record<string, string>, leaveAfterMs?: number): Promise<void> {
    const answer = await this.#world.hostFleet.call({
      kind: 'resumable', host: pickRunning(this.#world, this.#nextHost++), adapter, headers, requestId: createRequestId(), ...(leaveAfterMs !== undefined && { leaveAfterMs })
    })
    stream.attempts.push(answer)
    const ids = listEventIds(answer)
    if (ids.length === 0) return
    stream.firstId ??= answer.requestId
    stream.lastEventId = ids.at(-1)!
  }
}

/** Software versions of the endpoints whose events a stream holds, the first one first. */
export function listStreamVersions ({ hostFleet: { fleet } }: HostsWorld, { attempts }: TakenUpStream): string[] {
  const findVersion = ({ endpointId }: RunRecord): string => fleet.softwareVersions.get(endpointId) ?? 'unknown'
  return attempts.filter(answer => listEventIds(answer).length > 0).flatMap(({ requestId }) => {
    const runs = fleet.journal.listRuns(requestId)
    const isResumed = (run: RunRecord): boolean => run.fromEvent > 0
    // Of the runs from the start, only the last one can have brought events.
    return [...runs.filter(run => !isResumed(run)).slice(-1), ...runs.filter(isResumed)].map(findVersion)
  })
}
