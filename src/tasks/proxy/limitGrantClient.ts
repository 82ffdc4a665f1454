/** Requests grants for limited endpoints from the hosts that give them in place of an owner. */
import type { ClusterView } from '../../core/clusterView.js'
import { rankLimitGranters } from '../../core/limitGranters.js'
import { isUnowned } from '../../core/ownershipLease.js'
import { PeerBackoff } from '../../core/peerBackoff.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { HostRow } from '../../schemas/hostRows.js'
import type { ReservationClient, ReservationDetails, ReservationOutcome } from './reservationClient.js'

export interface LimitGrantClientOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  reservations: Pick<ReservationClient, 'requestReservation'>
}

export class LimitGrantClient {
  #options: LimitGrantClientOptions
  #backoff = new PeerBackoff()

  constructor (options: LimitGrantClientOptions) {
    this.#options = options
  }

  /** Requests a grant from the endpoint's granter or, if that does not respond, from its deputy. */
  async requestGrant (details: ReservationDetails): Promise<ReservationOutcome> {
    const { clock, log, reservations } = this.#options
    for (const { host, address, session } of this.#listGranters(details.endpointId)) {
      if (this.#backoff.isSkipped(session, clock.readMonotonic())) continue
      const outcome = await reservations.requestReservation(address, { ...details, isForLimit: true }).outcome
      if (outcome.kind !== 'silent') {
        this.#backoff.recordResponse(session)
        return outcome
      }
      this.#backoff.recordSilence(session, clock.readMonotonic())
      log.record('granter.silent', 'The host that grants requests to a limited endpoint does not respond; this host skips it for a while.', { requestId: details.requestId, endpointId: details.endpointId, granter: host })
    }
    return { kind: 'silent' }
  }

  #listGranters (endpointId: string): HostRow[] {
    const { clusterView } = this.#options
    const owner = clusterView.owners.get(endpointId)?.row
    return rankLimitGranters(endpointId, [...clusterView.hosts.values()].map(({ row }) => row), owner && !isUnowned(owner) ? owner.host : undefined)
  }
}
