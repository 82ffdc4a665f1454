/** The lease of one endpoint that this host owns, and the rules for using and unloading each adapter handle on it. */
import { FormerOwnerTracker } from '../../core/formerOwnerTracker.js'
import type { FormerOwnerEvidence } from '../../core/formerOwnerTracker.js'
import { selectAdoptableHandles } from '../../core/adoptableHandles.js'
import type { HandleUse } from '../../core/adoptableHandles.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import { formatHandle, parseHandle } from '../../core/handleFormat.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineReport } from '../../ports/engine.js'
import { formatEndpointKey } from '../../schemas/ownershipRows.js'
import type { EndpointRow, Holder } from '../../schemas/ownershipRows.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { TableWriter } from '../table/tableWriter.js'
import { SingleWriterRow } from './singleWriterRow.js'

export interface EndpointLeaseOptions {
  clock: Clock
  writer: TableWriter
  holder: Holder
  entry: EngineEntry
  /** The row as written when this host claimed the endpoint. */
  row: EndpointRow
  version: number
  policy: OwnershipPolicy
}

interface ReportedHandle extends HandleUse {
  isLoaded: boolean
  isIdle: boolean
}

export class EndpointLease {
  entry: EngineEntry
  /** Set once the scheduler was asked to drain the endpoint and release it. */
  isDraining = false
  /** Set once the scheduler no longer uses the endpoint; the release may not be written yet. */
  isReleased = false
  #options: EndpointLeaseOptions
  #leasedRow: SingleWriterRow<EndpointRow>
  /** The new row of a write that is in progress. */
  #rowBeingWritten: EndpointRow | undefined
  #lastQueuedWrite: Promise<unknown> = Promise.resolve()
  #sequence = 0
  #adopted: Set<string>
  /** Handles whose unload may have been ordered; they are never offered to a successor again. */
  #handlesToUnload = new Set<string>()
  #reportedHandles = new Map<string, ReportedHandle>()
  /** Time at which the state in the engine's latest report was current: the read time minus the report's lag. */
  #reportedAtMs = -Infinity
  #formerOwners: FormerOwnerTracker[]
  /** When all former owners were known to have stopped sending requests; Infinity before. */
  #formerOwnersEndedAtMs: number

  constructor (options: EndpointLeaseOptions) {
    this.#options = options
    this.entry = options.entry
    this.#leasedRow = new SingleWriterRow(options.writer, options.row, options.version)
    this.#adopted = new Set(options.row.adoptable)
    const nowMs = options.clock.readMonotonic()
    this.#formerOwners = options.row.former.map(former => new FormerOwnerTracker(former, nowMs))
    this.#formerOwnersEndedAtMs = this.#formerOwners.length === 0 ? nowMs : Infinity
  }

  get #row (): EndpointRow {
    return this.#leasedRow.row!
  }

  get fencing (): number {
    return this.#row.fencing
  }

  /** Handles loaded by former owners that this host may send requests to. */
  listAdoptedHandles (): string[] {
    return [...this.#adopted]
  }

  /** Ids of the former owners that may still send requests to the endpoint. */
  listFormerOwnerIds (): string[] {
    return this.#formerOwners.filter(tracker => tracker.state === 'mayServe').map(tracker => tracker.former.hostId)
  }

  /** Whether the row still names this process as owner, with the fencing token of this lease. */
  isConfirmedBy (row: EndpointRow): boolean {
    return row.owner?.session === this.#options.holder.session && row.fencing === this.fencing
  }

  createHandle (adapter: string, version: string): string {
    this.#sequence++
    return formatHandle(adapter, version, this.fencing, this.#sequence)
  }

  /** Records an engine report; `readAtMs` is the time just before the report was requested. */
  recordReport (report: EngineReport, readAtMs: number): void {
    this.#reportedAtMs = readAtMs - report.lagMs
    const previous = this.#reportedHandles
    this.#reportedHandles = new Map(report.adapters.map(({ handle, state, running }) => {
      const usedAtMs = running > 0 ? readAtMs : previous.get(handle)?.usedAtMs ?? readAtMs
      return [handle, { handle, usedAtMs, isLoaded: state === 'loaded', isIdle: running === 0 }]
    }))
  }

  /** Updates the state of each former owner from one successful read of the rows. */
  recordEvidence (findEvidence: (hostId: string) => FormerOwnerEvidence): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const tracker of this.#formerOwners) tracker.recordEvidence(findEvidence(tracker.former.hostId), nowMs)
    const hasEnded = this.#formerOwners.every(tracker => this.#options.policy.hasFormerOwnerEnded(tracker.state))
    if (hasEnded && this.#formerOwnersEndedAtMs === Infinity) this.#formerOwnersEndedAtMs = nowMs
  }

  recordFailedRead (): void {
    for (const tracker of this.#formerOwners) tracker.recordFailedRead()
  }

  /** Loaded handles that this host may not use and that no former owner can still be using. */
  listReclaimableHandles (): string[] {
    return [...this.#reportedHandles.values()]
      .filter(({ handle, isLoaded }) => isLoaded && parseHandle(handle) !== undefined)
      .filter(({ handle }) => !this.#isUsable(handle) && this.mayUnload(handle))
      .map(({ handle }) => handle)
  }

  /**
   * Removes the handle from the adoptable handles in the table before it is unloaded. No write is needed where the table
   * cannot list it as adoptable. Resolves to false where the handle must not be unloaded.
   */
  async writeUnloadIntent (handle: string): Promise<boolean> {
    if (!this.mayUnload(handle)) return false
    if (!this.#options.policy.canUnloadWithoutWrite(this.#mayBeAdoptable(handle))) {
      this.#handlesToUnload.add(handle)
      const isWritten = await this.#queueWrite(() => this.#createRow(this.#row.adoptable.filter(other => other !== handle)))
      if (!isWritten) this.#handlesToUnload.delete(handle)
      return isWritten
    }
    this.#handlesToUnload.add(handle)
    return true
  }

  /** Writes the row where its adoptable handles or former owners have changed. */
  async writeAdoptableHandles (): Promise<void> {
    if (!this.#hasEngineReport()) return
    const row = this.#createRow(this.#selectAdoptable())
    if (this.#leasedRow.pendingRow || !hasSameHandlesAndFormerOwners(row, this.#row)) await this.#queueWrite(() => this.#createRow(this.#selectAdoptable()))
  }

  /**
   * Releases the lease. All usable handles that are not to be unloaded become adoptable. The caller must send the engine
   * no more orders after this call.
   */
  async writeRelease (): Promise<boolean> {
    return await this.#queueWrite(() => {
      const { owner, ...row } = this.#createRow(this.#hasEngineReport() ? this.#listUsableHandles().map(use => use.handle) : this.#row.adoptable)
      return row
    })
  }

  #hasEngineReport (): boolean {
    return this.#reportedAtMs !== -Infinity
  }

  #listUsableHandles (): ReportedHandle[] {
    return [...this.#reportedHandles.values()]
      .filter(({ handle, isLoaded }) => isLoaded && this.#isUsable(handle) && !this.#handlesToUnload.has(handle))
  }

  #selectAdoptable (): string[] {
    return selectAdoptableHandles(this.#listUsableHandles(), this.entry.slots)
  }

  /** Whether this host loaded the handle under this lease or has adopted it. */
  #isUsable (handle: string): boolean {
    return this.#adopted.has(handle) || parseHandle(handle)?.fencing === this.fencing
  }

  /**
   * Whether the handle may be unloaded. A handle of this lease always may. A handle loaded by another owner must be idle in a
   * report made after all former owners stopped sending requests. A handle of a later owner never may: this host was replaced.
   */
  mayUnload (handle: string): boolean {
    const fencing = parseHandle(handle)?.fencing
    if (fencing !== undefined && fencing >= this.fencing) return fencing === this.fencing
    return this.#reportedAtMs >= this.#formerOwnersEndedAtMs && this.#reportedHandles.get(handle)?.isIdle === true
  }

  /** Whether the table lists the handle as adoptable, or may do so once a write in progress takes effect. */
  #mayBeAdoptable (handle: string): boolean {
    return [this.#row, this.#rowBeingWritten, this.#leasedRow.pendingRow].some(row => row?.adoptable.includes(handle))
  }

  #createRow (adoptable: string[]): EndpointRow {
    const former = this.#formerOwners.filter(({ state }) => state === 'mayServe').map(tracker => tracker.former)
    return { ...this.#row, adoptable: adoptable.filter(handle => !this.#handlesToUnload.has(handle)), former }
  }

  /** Writes one at a time, so that each new row is built from the result of the previous write. */
  async #queueWrite (createRow: () => EndpointRow): Promise<boolean> {
    const write = this.#lastQueuedWrite.then(async () => await this.#write(createRow))
    this.#lastQueuedWrite = write
    return await write
  }

  async #write (createRow: () => EndpointRow): Promise<boolean> {
    if (!await this.#leasedRow.resolvePendingWrite()) return false
    const row = createRow()
    const key = formatEndpointKey(row.endpointId)
    this.#rowBeingWritten = row
    const result = await this.#options.writer.write({ checks: [{ key, version: this.#leasedRow.version }], writes: [{ key, value: row }] })
    this.#rowBeingWritten = undefined
    this.#leasedRow.recordResult(row, result)
    return result.verdict === 'applied'
  }
}

function hasSameHandlesAndFormerOwners (left: EndpointRow, right: EndpointRow): boolean {
  return JSON.stringify([left.adoptable, left.former]) === JSON.stringify([right.adoptable, right.former])
}
