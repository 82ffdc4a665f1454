/** Intervals and timeouts of the lease protocol, in milliseconds of each host's own monotonic clock. */

/** Pause between the end of one cycle, which renews the lease and reads the rows, and the start of the next. */
export const leaseCyclePauseMs = 750
/** A lease holder expires once its renewal counter has been unchanged for this long. */
export const leaseDurationMs = 3000
/** The counter must also be unchanged in this many reads, so that a slow table does not expire any holder. */
export const minUnchangedReads = 4
/** An owner sends no requests or orders later than this after its last confirmed renewal was sent. */
export const maxServingMs = 12_000
/** A host that has had no answer from the table for this long reports an outage to its peers. */
export const outageThresholdMs = 8000
/** How long a peer's outage report is valid. */
export const outageReportTtlMs = 2000
/** An owner stops serving after this time without a confirmed renewal, even if its peers confirm that the table is down. */
export const maxOutageServingMs = 2 * 60 * 60 * 1000
/** A former owner is considered gone after this time without a renewal, if no outage can have let it continue serving. */
export const formerOwnerTimeoutMs = 20_000
/** A former owner is considered gone after this time without a renewal, regardless of any other evidence. */
export const maxFormerOwnerTimeoutMs = maxOutageServingMs + 60_000
