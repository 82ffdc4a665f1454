/** Structured log lines, one for each decision that affects a request or changes the state known to the process. */

export type EventFields = Readonly<Record<string, unknown>>

export interface EventLog {
  /**
   * Records an event. `kind` is a stable name such as `request.refused`; `message` says in one
   * sentence what happens and why; `fields` hold the inputs of the decision, with their age or version, and the outcome.
   */
  record: (kind: string, message: string, fields?: EventFields) => void
}
