/** One operator's live stream of decisions, as server-sent events; a slow reader misses some and is told how many. */
import { isDecisionSelected } from '../../core/decisionFilter.js'
import type { DecisionFilter } from '../../core/decisionFilter.js'
import type { Decision } from '../../schemas/decision.js'

const maxUnsentBytes = 256 * 1024

/** The part of an HTTP response that the stream needs. */
export interface StreamOutput {
  readonly writableLength: number
  write: (text: string) => unknown
  end: () => void
  destroy: () => void
}

export class WatchStream {
  #output: StreamOutput
  #filter: DecisionFilter
  #maxUnsentBytes: number
  #missed = 0
  #hosts = new Set<string>()

  constructor (output: StreamOutput, filter: DecisionFilter, maxUnsent = maxUnsentBytes) {
    this.#output = output
    this.#filter = filter
    this.#maxUnsentBytes = maxUnsent
  }

  /** Tells which hosts are watched, whenever one is reached for the first time. */
  addHost (host: string): void {
    if (this.#hosts.has(host)) return
    this.#hosts.add(host)
    this.#output.write(renderEvent('hosts', { hosts: [...this.#hosts] }))
  }

  /** Sends a decision, or counts it as missed while too much is unsent; never waits. */
  receiveDecision (decision: Decision): void {
    if (!isDecisionSelected(this.#filter, decision)) return
    if (this.#output.writableLength >= this.#maxUnsentBytes) {
      this.#missed++
      return
    }
    this.#sendMissed()
    this.#output.write(renderEvent('decision', decision))
  }

  /** Counts decisions that were lost on the way here. */
  receiveMissed (count: number): void {
    this.#missed += count
    if (this.#output.writableLength < this.#maxUnsentBytes) this.#sendMissed()
  }

  /** Keeps the connection open, and tells of missed decisions even when none follows. */
  sendHeartbeat (): void {
    if (this.#output.writableLength >= this.#maxUnsentBytes) return
    this.#sendMissed()
    this.#output.write(': heartbeat\n\n')
  }

  close (): void {
    this.#output.end()
  }

  /** Ends the connection of a reader that has not read the whole stream; has no effect behind a stream that was sent. */
  cut (): void {
    this.#output.destroy()
  }

  #sendMissed (): void {
    if (this.#missed === 0) return
    this.#output.write(renderEvent('missed', { count: this.#missed }))
    this.#missed = 0
  }
}

/** Renders one server-sent event with a JSON value. */
export function renderEvent (name: string, value: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(value)}\n\n`
}
