/** Requests places at endpoints of plain services from the hosts that grant them. */
import type { ClusterView } from '../../core/clusterView.js'
import { DispatchGranters } from '../../core/dispatch/dispatchGranters.js'
import { PeerBackoff } from '../../core/peerBackoff.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { ReservationClient, ReservationDetails, ReservationOutcome } from './reservationClient.js'

export interface DispatchClientOptions {
  clock: Clock
  log: EventLog
  clusterView: Pick<ClusterView, 'endpoints' | 'hosts' | 'hostsVersion'>
  reservations: Pick<ReservationClient, 'requestReservation'>
}

/** Times that a granter is asked: 80 ms without a reply leave time for the deputy and the answer within a target of 200 ms. */
const maxSends = 2
/** Codes of refusals by hosts that grant nothing at the endpoint, or are of a version that grants at no plain service. */
const otherGranterCodes: ReadonlySet<string> = new Set(['not_granter', 'not_owner'])

export class DispatchClient {
  #options: DispatchClientOptions
  #granters: DispatchGranters
  #backoff = new PeerBackoff()

  constructor (options: DispatchClientOptions) {
    this.#options = options
    this.#granters = new DispatchGranters(options.clusterView)
  }

  /** Requests a place from the endpoint's granter or, if that does not respond, from its deputy; `silent` if neither decides. */
  async requestPlace (details: ReservationDetails): Promise<ReservationOutcome> {
    const { clock, log, reservations } = this.#options
    const startedAtMs = clock.readMonotonic()
    for (const { host, address, session } of this.#granters.list(details.endpointId)) {
      if (this.#backoff.isSkipped(session, clock.readMonotonic())) continue
      const spentMs = clock.readMonotonic() - startedAtMs
      const { dueInMs, uselessInMs, leavesInMs } = details
      const outcome = await reservations.requestReservation(address, { ...details, dueInMs: dueInMs - spentMs, uselessInMs: uselessInMs - spentMs, leavesInMs: leavesInMs - spentMs, isForDispatch: true }, maxSends).outcome
      if (outcome.kind === 'silent') {
        this.#backoff.recordSilence(session, clock.readMonotonic())
        log.record('dispatch.granterSilent', 'The host that grants requests to an endpoint of a plain service does not respond; this host skips it for a while.', { requestId: details.requestId, endpointId: details.endpointId, granter: host })
        continue
      }
      this.#backoff.recordResponse(session)
      if (outcome.kind === 'refused' && otherGranterCodes.has(outcome.code)) continue
      return outcome
    }
    return { kind: 'silent' }
  }
}
