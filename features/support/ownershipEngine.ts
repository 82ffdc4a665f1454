/** A fake engine for tests of ownership: it holds handles and counts what breaks the promises. */
import type { EngineReport } from '../../src/ports/engine.js'

interface FakeHandle {
  running: number
  /** Host that holds an unload intent for the handle. */
  condemnedBy: string | undefined
}

export class OwnershipEngine {
  readonly slots: number
  readonly violations: string[] = []
  #handles = new Map<string, FakeHandle>()
  #wasUsed = new Set<string>()

  constructor (slots: number) {
    this.slots = slots
  }

  get handles (): string[] {
    return [...this.#handles.keys()]
  }

  /** Whether a host holds an unload intent for one of the handles. */
  get isCondemned (): boolean {
    return [...this.#handles.values()].some(({ condemnedBy }) => condemnedBy !== undefined)
  }

  has (handle: string): boolean {
    return this.#handles.has(handle)
  }

  load (handle: string): boolean {
    if (this.#wasUsed.has(handle)) this.violations.push(`handle ${handle} was used again`)
    if (this.#handles.size >= this.slots) return false
    this.#wasUsed.add(handle)
    this.#handles.set(handle, { running: 0, condemnedBy: undefined })
    return true
  }

  /** Starts a request; false where the handle is not loaded, so that it was not run. */
  startRequest (handle: string, hostId: string): boolean {
    const found = this.#handles.get(handle)
    if (!found) return false
    if (found.condemnedBy !== undefined && found.condemnedBy !== hostId) {
      this.violations.push(`${hostId} gave a request to ${handle}, which ${found.condemnedBy} may unload`)
    }
    found.running++
    return true
  }

  endRequest (handle: string): void {
    const found = this.#handles.get(handle)
    if (found) found.running--
  }

  recordIntent (handle: string, hostId: string): void {
    const found = this.#handles.get(handle)
    if (found?.condemnedBy !== undefined && found.condemnedBy !== hostId) {
      this.violations.push(`${hostId} and ${found.condemnedBy} may both unload ${handle}`)
    }
    if (found) found.condemnedBy = hostId
  }

  unload (handle: string, hostId: string): void {
    const found = this.#handles.get(handle)
    if (found && found.running > 0) this.violations.push(`${hostId} unloaded ${handle} while it served`)
    this.#handles.delete(handle)
  }

  readReport (): EngineReport {
    return {
      incarnation: '1',
      slots: this.slots,
      batchLimit: 16,
      running: 0,
      waiting: 0,
      adapters: [...this.#handles].map(([handle, { running }]) => ({ handle, state: 'loaded', running })),
      lagMs: 0
    }
  }
}
