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
}

export class RunJournal {
  readonly runs: RunRecord[] = []
  #byRequest = new Map<string, RunRecord[]>()

  start (run: Omit<RunRecord, 'endedAtMs' | 'outcome'>): RunRecord {
    const record: RunRecord = { ...run, endedAtMs: undefined, outcome: 'running' }
    this.runs.push(record)
    this.#byRequest.set(run.requestId, [...this.listRuns(run.requestId), record])
    return record
  }

  listRuns (requestId: string): RunRecord[] {
    return this.#byRequest.get(requestId) ?? []
  }
}
