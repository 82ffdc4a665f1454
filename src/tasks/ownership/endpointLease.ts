/** The lease of one endpoint that this host owns, and what may be done with each handle on it. */
import { FormerOwnerWatch } from '../../core/ownershipFormer.js'
import type { FormerEvidence } from '../../core/ownershipFormer.js'
import { chooseAdoptable } from '../../core/ownershipHandles.js'
import type { HandleUse } from '../../core/ownershipHandles.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import { formatHandle, parseHandle } from '../../core/formatAdapter.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineReport } from '../../ports/engine.js'
import { formatEndpointKey } from '../../schemas/ownershipRows.js'
import type { EndpointRow, Holder } from '../../schemas/ownershipRows.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { TableWriter } from '../table/tableWriter.js'
import { LeasedRow } from './leasedRow.js'

export interface EndpointLeaseOptions {
  clock: Clock
  writer: TableWriter
  holder: Holder
  entry: EngineEntry
  /** The row that the takeover wrote. */
  row: EndpointRow
  version: number
  policy: OwnershipPolicy
}

interface SeenHandle extends HandleUse {
  isLoaded: boolean
  isIdle: boolean
}

export class EndpointLease {
  entry: EngineEntry
  /** Set once the scheduler was asked to drain the endpoint. */
  isYielding = false
  /** Set once the scheduler no longer uses the endpoint; the hand-over is yet to be written. */
  isReleased = false
  #options: EndpointLeaseOptions
  #leased: LeasedRow<EndpointRow>
  /** The row that a write under way would leave. */
  #written: EndpointRow | undefined
  #lastWrite: Promise<unknown> = Promise.resolve()
  #sequence = 0
  #adopted: Set<string>
  /** Handles that may be under an order to unload; they are never offered to a successor again. */
  #condemned = new Set<string>()
  #seen = new Map<string, SeenHandle>()
  /** Time of the engine's latest report, its lag taken off. */
  #reportedAtMs = -Infinity
  #formers: FormerOwnerWatch[]
  /** When every former owner was known to have ended; Infinity before. */
  #formersEndedAtMs: number

  constructor (options: EndpointLeaseOptions) {
    this.#options = options
    this.entry = options.entry
    this.#leased = new LeasedRow(options.writer, options.row, options.version)
    this.#adopted = new Set(options.row.adoptable)
    const nowMs = options.clock.readMonotonic()
    this.#formers = options.row.former.map(former => new FormerOwnerWatch(former, nowMs))
    this.#formersEndedAtMs = this.#formers.length === 0 ? nowMs : Infinity
  }

  get #row (): EndpointRow {
    return this.#leased.row!
  }

  get fencing (): number {
    return this.#row.fencing
  }

  /** Handles of former owners that this host may give requests to. */
  listAdopted (): string[] {
    return [...this.#adopted]
  }

  /** Former owners that may still send requests to the endpoint, by host id. */
  listFormerHosts (): string[] {
    return this.#formers.filter(former => former.state === 'mayServe').map(former => former.former.hostId)
  }

  isHeldIn (row: EndpointRow): boolean {
    return row.owner?.session === this.#options.holder.session && row.fencing === this.fencing
  }

  createHandle (adapter: string, version: string): string {
    this.#sequence++
    return formatHandle(adapter, version, this.fencing, this.#sequence)
  }

  /** Takes a report of the engine; `readAtMs` is the time before it was asked for. */
  recordReport (report: EngineReport, readAtMs: number): void {
    this.#reportedAtMs = readAtMs - report.lagMs
    const before = this.#seen
    this.#seen = new Map(report.adapters.map(({ handle, state, running }) => {
      const usedAtMs = running > 0 ? readAtMs : before.get(handle)?.usedAtMs ?? readAtMs
      return [handle, { handle, usedAtMs, isLoaded: state === 'loaded', isIdle: running === 0 }]
    }))
  }

  recordEvidence (findEvidence: (hostId: string) => FormerEvidence): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const watch of this.#formers) watch.recordEvidence(findEvidence(watch.former.hostId), nowMs)
    const hasEnded = this.#formers.every(watch => this.#options.policy.hasEnded(watch.state))
    if (hasEnded && this.#formersEndedAtMs === Infinity) this.#formersEndedAtMs = nowMs
  }

  recordFailedRead (): void {
    for (const watch of this.#formers) watch.recordFailedRead()
  }

  /** Loaded handles that nobody may use, and that no former owner can be using any more. */
  listRemovable (): string[] {
    return [...this.#seen.values()]
      .filter(({ handle, isLoaded }) => isLoaded && parseHandle(handle) !== undefined)
      .filter(({ handle }) => !this.#isUsable(handle) && this.mayUnload(handle))
      .map(({ handle }) => handle)
  }

  /** Writes that the handle will be unloaded, unless the rows have left that to this host already. */
  async writeUnloadIntent (handle: string): Promise<boolean> {
    if (!this.mayUnload(handle)) return false
    if (!this.#options.policy.isOpen(this.#mayBeAdoptable(handle))) {
      this.#condemned.add(handle)
      const isWritten = await this.#queueWrite(() => this.#createRow(this.#row.adoptable.filter(other => other !== handle)))
      if (!isWritten) this.#condemned.delete(handle)
      return isWritten
    }
    this.#condemned.add(handle)
    return true
  }

  /** Brings the row's list of adoptable handles up to date. */
  async writeAdoptable (): Promise<void> {
    if (!this.#hasReport()) return
    const row = this.#createRow(this.#chooseAdoptable())
    if (this.#leased.pendingRow || !isSameRow(row, this.#row)) await this.#queueWrite(() => this.#createRow(this.#chooseAdoptable()))
  }

  /** Gives the lease up, with every handle adoptable that is under no order; no order may be given after the call. */
  async writeRelease (): Promise<boolean> {
    return await this.#queueWrite(() => {
      const { owner, ...row } = this.#createRow(this.#hasReport() ? this.#listUsable().map(use => use.handle) : this.#row.adoptable)
      return row
    })
  }

  #hasReport (): boolean {
    return this.#reportedAtMs !== -Infinity
  }

  #listUsable (): SeenHandle[] {
    return [...this.#seen.values()]
      .filter(({ handle, isLoaded }) => isLoaded && this.#isUsable(handle) && !this.#condemned.has(handle))
  }

  #chooseAdoptable (): string[] {
    return chooseAdoptable(this.#listUsable(), this.entry.slots)
  }

  /** This host loaded the handle, or may give requests to it. */
  #isUsable (handle: string): boolean {
    return this.#adopted.has(handle) || parseHandle(handle)?.fencing === this.fencing
  }

  /** A handle that another owner loaded must have been idle since every former owner ended. */
  mayUnload (handle: string): boolean {
    if (parseHandle(handle)?.fencing === this.fencing) return true
    return this.#reportedAtMs >= this.#formersEndedAtMs && this.#seen.get(handle)?.isIdle === true
  }

  /** Whether the table may show the handle as adoptable, now or once a write under way takes effect. */
  #mayBeAdoptable (handle: string): boolean {
    return [this.#row, this.#written, this.#leased.pendingRow].some(row => row?.adoptable.includes(handle))
  }

  #createRow (adoptable: string[]): EndpointRow {
    const former = this.#formers.filter(({ state }) => state === 'mayServe').map(watch => watch.former)
    return { ...this.#row, adoptable: adoptable.filter(handle => !this.#condemned.has(handle)), former }
  }

  /** Writes one row after the other, so that each is built on what the one before has left. */
  async #queueWrite (createRow: () => EndpointRow): Promise<boolean> {
    const write = this.#lastWrite.then(async () => await this.#write(createRow))
    this.#lastWrite = write
    return await write
  }

  async #write (createRow: () => EndpointRow): Promise<boolean> {
    if (!await this.#leased.settle()) return false
    const row = createRow()
    const key = formatEndpointKey(row.endpointId)
    this.#written = row
    const result = await this.#options.writer.write({ checks: [{ key, version: this.#leased.version }], writes: [{ key, value: row }] })
    this.#written = undefined
    this.#leased.recordResult(row, result)
    return result.verdict === 'applied'
  }
}

function isSameRow (left: EndpointRow, right: EndpointRow): boolean {
  return JSON.stringify([left.adoptable, left.former]) === JSON.stringify([right.adoptable, right.former])
}
