/** Keeps this host's rows in the store: registers the host, renews its lease, and knows the version of its renewal row. */
import { isSameList } from '../../core/leaseWitnesses.js'
import type { LeaseWitness } from '../../core/leaseWitnesses.js'
import { renewalIntervalMs } from '../../core/ownershipLease.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { RowCheck, StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import type { RenewalResult } from '../../schemas/datagram.js'
import { decodeRenewal, encodeHostsRow, formatHostKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { RenewalRow } from '../../schemas/hostRows.js'

export interface HostRegistrationOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  own: { host: string, address: string, zone: string, session: string, processorShare?: number }
  /** Sends a transaction to the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Sends a renewal to the renewal collector; resolves with undefined if it is not known whether the renewal was written. */
  renewViaCollector: (renewal: number, version: number) => Promise<RenewalResult | undefined>
  /** Reads the renewals from the store; called after the store's response to a renewal was lost. */
  readRenewals: () => void
  /** Applies a row of the store to the cluster view before a cluster update contains it. */
  applyRow: (row: StoreRow) => void
  /** Selects the witnesses that this host's row should list. */
  selectWitnesses: () => LeaseWitness[]
  /** Returns the processes that the hosts of these witnesses have now. */
  updateWitnessSessions: (witnesses: readonly LeaseWitness[]) => LeaseWitness[]
  /** Whether a list of witnesses that was written `ageMs` ago should be replaced. */
  isWitnessListOutdated: (listed: readonly LeaseWitness[], ageMs: number) => boolean
  /** Called when another host has removed the rows of this one. */
  receiveDeclaredDead: () => void
  /** Requests another step of the lease task as soon as possible. */
  requestStep: () => void
}

/** Delay before a failed renewal is retried; grows with each failure up to half of the renewal interval. */
const minRetryDelayMs = 100
const maxRetryDelayMs = 500
/** After a batch or a conflict of the renewal collector, the next renewal is sent this much earlier or later. */
const collectorMarginMs = 100
/** Minimum time between two changes of the witnesses, so that hosts that start or end together cost one. */
const minWitnessChangeMs = 1000

interface SentRenewal {
  readonly sentAtMs: number
  /** Whether the store did not have this host's rows. */
  readonly registers: boolean
  /** The witnesses in this host's other row, if that is written too. */
  readonly witnesses: readonly LeaseWitness[] | undefined
  /** Processes of the listed witnesses when it was sent; what their former processes confirmed is void once it is in the store. */
  readonly listedProcesses: readonly LeaseWitness[]
}

export class HostRegistration {
  #options: HostRegistrationOptions
  /** When the last confirmed renewal was sent; a renewal is confirmed once it is known to be in the store. */
  #confirmedSentAtMs = -Infinity
  /** Whether a renewal was confirmed, however long ago, with no process pause and no other writer of the row since. */
  #hasConfirmed = false
  #renewalCounter = 0
  /** The last renewal that was confirmed since the store was last restored; 0 if there is none. */
  #confirmedRenewal = 0
  /** Witnesses in this host's row, as last confirmed. */
  #witnesses: readonly LeaseWitness[] | undefined
  /** Witnesses of writes whose outcome is not known, by renewal. */
  #unconfirmedWitnesses = new Map<number, readonly LeaseWitness[]>()
  #witnessesSentAtMs = -Infinity
  /** Renewals whose result is not known. */
  #unconfirmed = new Map<number, SentRenewal>()
  /** Version of this host's renewal row in the store; 0 if none is known. */
  #version = 0
  /** Whether the store has this host's rows, written by this process and since the store was last restored. */
  #isRegistered = false
  /** Start of the current renewal interval: the last renewal, or an adjusted time that moves the next renewal. */
  #intervalStartedAtMs = -Infinity
  #isRenewing = false
  #failureCount = 0
  /** Increased when the store is restored: what was sent before it is not waited for. */
  #round = 0

  constructor (options: HostRegistrationOptions) {
    this.#options = options
  }

  get isRegistered (): boolean {
    return this.#isRegistered
  }

  get confirmedSentAtMs (): number {
    return this.#confirmedSentAtMs
  }

  get hasConfirmed (): boolean {
    return this.#hasConfirmed
  }

  get confirmedRenewal (): number {
    return this.#confirmedRenewal
  }

  /** Lists of witnesses of which the store has one; none before this host has registered. */
  listPossibleWitnesses (): Array<readonly LeaseWitness[]> {
    return [...(this.#witnesses ? [this.#witnesses] : []), ...this.#unconfirmedWitnesses.values()]
  }

  /** The check that this host's renewal row is as it was last written; fails where another host has removed it. */
  get check (): RowCheck {
    return { table: renewalsTable, key: this.#options.own.host, version: this.#version }
  }

  /** Renews the lease, or registers the host first, if the last attempt was started `intervalMs` ago. */
  renewIfDue (nowMs: number, intervalMs: number): void {
    if (nowMs - this.#intervalStartedAtMs >= intervalMs) this.#renew()
  }

  /** Writes other witnesses into this host's row if its list is outdated. */
  renewIfWitnessesOutdated (nowMs: number): void {
    // After a failure the next renewal shows first whether the store accepts writes again.
    if (!this.#isRegistered || this.#isRenewing || this.#failureCount > 0 || nowMs - this.#witnessesSentAtMs < minWitnessChangeMs) return
    if (this.#unconfirmedWitnesses.size > 0 || this.#options.isWitnessListOutdated(this.#witnesses ?? [], nowMs - this.#witnessesSentAtMs)) this.#renew(true)
  }

  /** Makes the next renewal due. */
  requestRenewal (): void {
    this.#intervalStartedAtMs = -Infinity
  }

  /** Forgets what was confirmed, as the process may have been paused; a renewal that was sent before does not confirm the lease after it. */
  forgetConfirmed (): void {
    this.#confirmedSentAtMs = -Infinity
    this.#hasConfirmed = false
    this.#unconfirmed.clear()
    this.requestRenewal()
  }

  /** Registers again, as the store was restored from a copy that may lack the rows, or have earlier ones. */
  beginEra (): void {
    this.forgetConfirmed()
    this.#confirmedRenewal = 0
    this.#version = 0
    this.#isRegistered = false
    this.#isRenewing = false
    this.#failureCount = 0
    this.#round++
  }

  /**
   * Checks whether the store accepts writes, by writing a renewal. A conflict also counts: it results from another renewal that the
   * store applied.
   */
  async probeStore (): Promise<boolean> {
    const { clock, transact } = this.#options
    const renewal = ++this.#renewalCounter
    const sent = { sentAtMs: clock.readMonotonic(), registers: false, witnesses: undefined, listedProcesses: [] }
    this.#unconfirmed.set(renewal, sent)
    const outcome = await transact({ checks: [this.check], writes: [this.#createRenewalWrite(renewal)], removals: [] })
    if (outcome.verdict === 'applied') this.#recordConfirmed(renewal, outcome.version, sent)
    if (outcome.verdict === 'conflict') for (const row of outcome.rows) this.adoptRow(row)
    return outcome.verdict === 'applied' || outcome.verdict === 'conflict'
  }

  /** Adopts a renewal of this process that was read from the store, and confirms it if the response to its write was lost. */
  adoptRenewal ({ session, renewal }: RenewalRow, version: number): void {
    if (session !== this.#options.own.session || version <= this.#version) return
    this.#version = version
    const sent = this.#unconfirmed.get(renewal)
    if (sent) this.#recordConfirmed(renewal, version, sent)
  }

  /** Adopts the version of this host's renewal row from a conflict; returns false if the row is not of this process, or gone. */
  adoptConflict (rows: readonly StoreRow[]): boolean {
    const { own } = this.#options
    const current = rows.find(row => row.table === renewalsTable && row.key === own.host)
    const renewal = current?.value && decodeRenewal(current.value)
    if (renewal?.session !== own.session) return false
    this.#version = current!.version
    return true
  }

  /** Adopts this host's renewal row as a conflict shows it. */
  adoptRow ({ table, key, value, version }: StoreRow): void {
    const renewal = value && decodeRenewal(value)
    if (renewal && table === renewalsTable && key === this.#options.own.host) this.adoptRenewal(renewal, version)
  }

  #recordConfirmed (renewal: number, version: number, { sentAtMs, registers, witnesses, listedProcesses }: SentRenewal): void {
    for (const sent of this.#unconfirmed.keys()) if (sent <= renewal) this.#unconfirmed.delete(sent)
    this.#witnesses = witnesses ?? this.#witnesses?.map(witness => listedProcesses.find(({ host }) => host === witness.host) ?? witness)
    if (witnesses) {
      for (const sent of this.#unconfirmedWitnesses.keys()) if (sent <= renewal) this.#unconfirmedWitnesses.delete(sent)
    }
    if (registers && !this.#isRegistered) {
      this.#isRegistered = true
      this.#options.requestStep()
    }
    this.#failureCount = 0
    this.#version = version
    this.#confirmedRenewal = Math.max(this.#confirmedRenewal, renewal)
    this.#confirmedSentAtMs = Math.max(this.#confirmedSentAtMs, sentAtMs)
    this.#hasConfirmed = true
  }

  #createRenewalWrite (renewal: number): StoreTransaction['writes'][number] {
    const { host, session } = this.#options.own
    return { table: renewalsTable, key: host, value: encodeHostsRow({ session, renewal }) }
  }

  #createHostWrite (witnesses: readonly LeaseWitness[]): StoreTransaction['writes'][number] {
    const { own, clusterView } = this.#options
    return { table: hostsTable, key: formatHostKey(own.host), value: encodeHostsRow({ ...own, isLeaving: false, witnesses: witnesses.map(({ host: witness }) => witness), ...clusterView.writtenInEra }) }
  }

  async #renew (changesWitnesses = false): Promise<void> {
    if (this.#isRenewing) return
    this.#isRenewing = true
    const { clock, renewViaCollector, selectWitnesses, updateWitnessSessions } = this.#options
    const round = this.#round
    const startedAtMs = clock.readMonotonic()
    this.#intervalStartedAtMs = startedAtMs
    const renewal = ++this.#renewalCounter
    const sent = {
      sentAtMs: startedAtMs,
      registers: !this.#isRegistered,
      witnesses: changesWitnesses || !this.#isRegistered ? selectWitnesses() : undefined,
      listedProcesses: updateWitnessSessions(this.#witnesses ?? [])
    }
    this.#unconfirmed.set(renewal, sent)
    if (sent.witnesses) {
      this.#witnessesSentAtMs = startedAtMs
      // Attempts during an outage list the same witnesses over and over.
      for (const [earlier, witnesses] of this.#unconfirmedWitnesses) if (isSameList(witnesses, sent.witnesses)) this.#unconfirmedWitnesses.delete(earlier)
      this.#unconfirmedWitnesses.set(renewal, sent.witnesses)
    }
    // Without a recent confirmed renewal, this host writes its own at once instead of waiting for the collector.
    const canUseCollector = !sent.witnesses && startedAtMs - this.#confirmedSentAtMs < 2 * renewalIntervalMs
    const reply = canUseCollector ? await renewViaCollector(renewal, this.#version) : undefined
    if (round !== this.#round) return
    if (reply) this.#handleCollected(reply, renewal, sent)
    else await this.#renewDirectly(renewal, sent)
    if (round === this.#round) this.#isRenewing = false
  }

  async #renewDirectly (renewal: number, sent: SentRenewal): Promise<void> {
    const { transact, applyRow, readRenewals, log, requestStep } = this.#options
    const round = this.#round
    const write = this.#createRenewalWrite(renewal)
    const hostWrites = sent.witnesses ? [this.#createHostWrite(sent.witnesses)] : []
    // Copies of one transaction have the same check, so that the store applies one of them at most.
    const outcome = await transact({ checks: [this.check], writes: [write, ...hostWrites], removals: [] })
    if (round !== this.#round) return
    if (outcome.verdict === 'applied') {
      for (const hostWrite of hostWrites) applyRow({ ...hostWrite, version: outcome.version })
      if (this.#unconfirmed.has(renewal)) this.#recordConfirmed(renewal, outcome.version, sent)
      else this.#version = Math.max(this.#version, outcome.version)
      return
    }
    if (outcome.verdict === 'conflict') this.#handleConflict(outcome.rows)
    else if (outcome.verdict === 'unknown') readRenewals()
    if (outcome.verdict !== 'conflict') log.record('lease.renewalFailed', 'The renewal of this host\'s row failed.', { verdict: outcome.verdict, reason: outcome.reason })
    // The first conflict of a host that registers only tells the version of the row that it replaces.
    if (!(sent.registers && outcome.verdict === 'conflict' && this.#failureCount === 0)) this.#failureCount++
    this.#intervalStartedAtMs = sent.sentAtMs - renewalIntervalMs + Math.min(maxRetryDelayMs, minRetryDelayMs * this.#failureCount)
    requestStep()
  }

  #handleCollected ({ verdict, version, current }: RenewalResult, renewal: number, sent: SentRenewal): void {
    const { clock, own } = this.#options
    if (verdict === 'conflict') {
      this.#handleConflict(current ? [{ table: renewalsTable, key: own.host, version, value: encodeHostsRow(current) }] : [])
      this.#intervalStartedAtMs = sent.sentAtMs - renewalIntervalMs + collectorMarginMs * 2
      return
    }
    if (this.#unconfirmed.has(renewal)) this.#recordConfirmed(renewal, version, sent)
    // Align the next renewal with the collector's batch: hosts in one batch then send their next renewals together.
    this.#intervalStartedAtMs = clock.readMonotonic() - collectorMarginMs
  }

  /**
   * Handles a row that differs from this host's last known write: an earlier renewal was written although its response was lost, an
   * earlier process of this host or a copy of the store left the row, or another host declared this one dead.
   */
  #handleConflict (rows: readonly StoreRow[]): void {
    const { own, log, readRenewals, receiveDeclaredDead } = this.#options
    const current = rows.find(row => row.table === renewalsTable && row.key === own.host)
    const renewal = current?.value && decodeRenewal(current.value)
    const isOwnWrite = renewal?.session === own.session
    log.record('lease.conflict', 'This host\'s row was changed by another writer, or by a renewal whose response was lost.', {
      isOwnWrite, isRegistered: this.#isRegistered, version: current?.version, known: this.#version
    })
    if (isOwnWrite) {
      // A row goes back only where the store was restored, which a collector of an earlier version does not tell.
      if (current!.version < this.#version) readRenewals()
      this.#version = Math.min(this.#version, current!.version - 1)
      this.adoptRenewal(renewal!, current!.version)
      return
    }
    this.#version = current?.version ?? 0
    if (!this.#isRegistered) return
    this.#isRegistered = false
    this.#hasConfirmed = false
    receiveDeclaredDead()
  }
}
