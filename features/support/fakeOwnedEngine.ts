/** A fake engine for tests of ownership: it keeps handles and records violations of the ownership invariants. */
import type { EngineReport } from '../../src/ports/engine.js'

interface FakeHandle {
  running: number
  /** Host that has recorded an unload intent for the handle. */
  unloadIntentBy: string | undefined
}

export class FakeOwnedEngine {
  readonly slots: number
  readonly violations: string[] = []
  #handles = new Map<string, FakeHandle>()
  #usedHandles = new Set<string>()

  constructor (slots: number) {
    this.slots = slots
  }

  get handles (): string[] {
    return [...this.#handles.keys()]
  }

  /** Whether a host has recorded an unload intent for one of the handles. */
  get hasUnloadIntent (): boolean {
    return [...this.#handles.values()].some(({ unloadIntentBy }) => unloadIntentBy !== undefined)
  }

  has (handle: string): boolean {
    return this.#handles.has(handle)
  }

  load (handle: string): boolean {
    if (this.#usedHandles.has(handle)) this.violations.push(`handle ${handle} was reused`)
    if (this.#handles.size >= this.slots) return false
    this.#usedHandles.add(handle)
    this.#handles.set(handle, { running: 0, unloadIntentBy: undefined })
    return true
  }

  /** Starts a request; false where the handle is not loaded and so nothing was run. */
  startRequest (handle: string, hostId: string): boolean {
    const found = this.#handles.get(handle)
    if (!found) return false
    if (found.unloadIntentBy !== undefined && found.unloadIntentBy !== hostId) {
      this.violations.push(`${hostId} sent a request to ${handle}, which ${found.unloadIntentBy} may unload`)
    }
    found.running++
    return true
  }

  endRequest (handle: string): void {
    const found = this.#handles.get(handle)
    if (found) found.running--
  }

  recordUnloadIntent (handle: string, hostId: string): void {
    const found = this.#handles.get(handle)
    if (found?.unloadIntentBy !== undefined && found.unloadIntentBy !== hostId) {
      this.violations.push(`${hostId} and ${found.unloadIntentBy} may both unload ${handle}`)
    }
    if (found) found.unloadIntentBy = hostId
  }

  unload (handle: string, hostId: string): void {
    const found = this.#handles.get(handle)
    if (found && found.running > 0) this.violations.push(`${hostId} unloaded ${handle} while it was in use`)
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
