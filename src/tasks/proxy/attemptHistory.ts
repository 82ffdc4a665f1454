/** What has become of one request's attempts so far. */
import type { ForwardedFields } from '../../schemas/forwarding.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { EndpointSelection, ReservationSearch } from './endpointSelector.js'

export class AttemptHistory {
  /** Endpoints that the request was sent to, and their software versions. */
  readonly endpointIds: string[] = []
  readonly softwareVersions: string[] = []
  /** Replies of the owners that were asked for reservations. */
  readonly searches: ReservationSearch[] = []
  sendCount = 0
  /** How often the request may have run. */
  runCount = 0
  /** Whether any endpoint may have run the request since this host received it. */
  mayHaveRun = false
  /** Time spent selecting endpoints, including the wait for reservations. */
  selectionMs = 0
  /** When an endpoint asked the request to come back; undefined if none did. */
  retryAfterMs: number | undefined

  /** `forwarded`: what another host has tried. */
  constructor (forwarded: ForwardedFields | undefined) {
    this.endpointIds.push(...forwarded?.attemptedEndpointIds ?? [])
    this.runCount = forwarded?.runs ?? 0
  }

  recordSelection ({ search }: EndpointSelection, tookMs: number): void {
    this.selectionMs += tookMs
    if (search) this.searches.push(search)
  }

  recordSend ({ id, softwareVersion }: EndpointEntry): void {
    this.sendCount++
    this.endpointIds.push(id)
    this.softwareVersions.push(softwareVersion)
  }

  /** Records that an endpoint may have run the request. */
  recordPossibleRun (): void {
    this.mayHaveRun = true
    this.runCount++
  }
}
