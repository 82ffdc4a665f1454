/** Structured log lines, one for each decision that touches a request or changes what the process believes. */

export type EventFields = Readonly<Record<string, unknown>>

export interface EventLog {
  /**
   * Records an event. `kind` is a stable name such as `request.refused`; `message` says what happens and why, in a
   * sentence; `fields` carry the inputs that decided it, with their age or version, and the outcome.
   */
  record: (kind: string, message: string, fields?: EventFields) => void
}
