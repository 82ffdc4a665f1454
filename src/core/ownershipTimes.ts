/** Times of the lease protocol, in milliseconds of each host's own monotonic clock. */

/** Time between the end of one renewal and watch of the rows and the start of the next. */
export const leaseCycleMs = 750
/** A renewal counter that stands still for this long makes its holder expired. */
export const leaseTermMs = 3000
/** A counter must also have stood still in this many reads, so that a slow table expires nobody. */
export const minStillReads = 4
/** An owner gives no request or order later than this after its last proven renewal was sent. */
export const servingLimitMs = 12_000
/** A host that has had no answer from the table for this long tells its peers so. */
export const outageThresholdMs = 8000
/** How long a peer's report of an outage counts. */
export const outageReportMs = 2000
/** An owner stops here even where its peers confirm that the table is down. */
export const outageLimitMs = 2 * 60 * 60 * 1000
/** A former owner counts as gone when it was silent for this long and no outage can have kept it serving. */
export const formerOwnerBoundMs = 20_000
/** A former owner counts as gone when it was silent for this long, whatever else is known. */
export const formerOwnerLimitMs = outageLimitMs + 60_000
