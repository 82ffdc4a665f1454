/** Decides whether another host's lease has expired, by its witnesses. */
import { hasExpiryMajority, unconditionalExpiryMs } from '../../core/leaseWitnesses.js'
import type { HeldLease } from '../../core/leaseWitnesses.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreRow } from '../../ports/store.js'
import { decodeRenewal } from '../../schemas/hostRows.js'
import type { HostRow } from '../../schemas/hostRows.js'

export interface LeaseExpiryOptions {
  log: EventLog
  own: { host: string }
  clusterView: Pick<ClusterView, 'hosts'>
  /** Asks the host at an address to confirm that a lease has expired; false if it does not, or does not respond. */
  requestConfirmation: (address: string, lease: HeldLease) => Promise<boolean>
  /** Whether this host, as a witness, confirms it itself. */
  confirmExpiry: (lease: HeldLease) => boolean
}

export class LeaseExpiry {
  #options: LeaseExpiryOptions

  constructor (options: LeaseExpiryOptions) {
    this.#options = options
  }

  /**
   * Whether a host that has not renewed its row for `stalledMs`, longer than `hostExpiryMs`, can no longer send orders: its witnesses
   * confirm no outage to it, or it is past the time for which an owner goes on through one.
   */
  async hasExpired ({ host, session, witnesses }: HostRow, renewalRow: StoreRow, stalledMs: number): Promise<boolean> {
    // A host of an earlier version goes by no list, so that only the time since its renewal can tell.
    if (witnesses === undefined || stalledMs >= unconditionalExpiryMs) return true
    const renewal = renewalRow.value && decodeRenewal(renewalRow.value)
    // Rows of two processes of a host: the later row has yet to be read.
    if (renewal?.session !== session) return false
    const confirmations = await this.#collectConfirmations({ host, session, renewal: renewal.renewal }, witnesses)
    if (hasExpiryMajority(witnesses.length, confirmations)) return true
    this.#options.log.record('lease.expiryDeferred', 'A host did not renew its row, but it may go on with the witnesses that do not confirm that its lease has expired.', {
      lostHost: host, witnesses: witnesses.length, confirmations, stalledMs: Math.round(stalledMs)
    })
    return false
  }

  /** Asks all witnesses at once; resolves with the number that confirm as soon as it is enough, or when all have responded or timed out. */
  async #collectConfirmations (lease: HeldLease, witnesses: readonly string[]): Promise<number> {
    return await new Promise(resolve => {
      let confirmations = 0
      const countReply = (isConfirmed: boolean): void => {
        if (isConfirmed) confirmations++
        if (hasExpiryMajority(witnesses.length, confirmations)) resolve(confirmations)
      }
      Promise.all(witnesses.map(async witness => countReply(await this.#askWitness(witness, lease)))).then(() => resolve(confirmations))
    })
  }

  async #askWitness (host: string, lease: HeldLease): Promise<boolean> {
    const { own, clusterView, requestConfirmation, confirmExpiry } = this.#options
    if (host === own.host) return confirmExpiry(lease)
    const address = clusterView.hosts.get(host)?.row.address
    return address !== undefined && await requestConfirmation(address, lease)
  }
}
