/** What endpoints of a stand-in fleet ran, for checks of what the system promises. */

export interface RunRecord {
  requestId: string
  endpointId: string
  service: string
  path: string
  startedAtMs: number
  /** Undefined while it runs. */
  endedAtMs: number | undefined
  outcome: 'running' | 'whole' | 'broken' | 'left'
  /** Time that the endpoint was told is left. */
  timeLeftMs: number
  /** Event after which a resumed stream goes on; 0 for a run from the start. */
  fromEvent: number
  adapterVersion: number | undefined
  /** Client account that the endpoint received; undefined if none. */
  account?: string | undefined
  /** Whether a caller's key came along. */
  hasCredentials?: boolean
}

/** A request that an endpoint received, whether it ran it or not. */
export interface Arrival {
  requestId: string
  endpointId: string
  atMs: number
  /** Alternating names and values, as the endpoint got them. */
  rawHeaders: readonly string[]
}

export class RunJournal {
  readonly runs: RunRecord[] = []
  readonly rejections: Arrival[] = []
  /** All requests that endpoints received, rejected ones too. */
  readonly arrivals: Arrival[] = []
  #byRequest = new Map<string, RunRecord[]>()

  start (run: Omit<RunRecord, 'endedAtMs' | 'outcome'>): RunRecord {
    const record: RunRecord = { ...run, endedAtMs: undefined, outcome: 'running' }
    this.runs.push(record)
    this.#byRequest.set(run.requestId, [...this.listRuns(run.requestId), record])
    return record
  }

  recordRejection (endpointId: string, requestId: string, atMs: number, rawHeaders: readonly string[]): void {
    this.rejections.push({ requestId, endpointId, atMs, rawHeaders })
  }

  recordArrival (endpointId: string, requestId: string, atMs: number, rawHeaders: readonly string[]): void {
    this.arrivals.push({ requestId, endpointId, atMs, rawHeaders })
  }

  listRuns (requestId: string): RunRecord[] {
    return this.#byRequest.get(requestId) ?? []
  }
}
