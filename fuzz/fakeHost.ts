/** A host of the fuzzed system: it can be paused, woken and killed, and everything that reaches it goes through here. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { Clock } from '../src/ports/clock.js'

export type HostState = 'running' | 'paused' | 'dead'

let sessions = 0

export class FakeHost {
  readonly id: string
  /** Differs between processes under one name. */
  readonly session = `session-${++sessions}`
  readonly zone: string
  readonly clock: Clock
  #virtualClock: VirtualClock
  #state: HostState = 'running'
  #backlog: Array<() => void> = []
  #diedHandlers: Array<() => void> = []
  #orderPause: (() => void) | undefined

  constructor (id: string, zone: string, virtualClock: VirtualClock) {
    this.id = id
    this.zone = zone
    this.#virtualClock = virtualClock
    this.clock = {
      readMonotonic: virtualClock.readMonotonic,
      readWall: virtualClock.readWall,
      setTimer: (run, delayMs) => {
        let isCancelled = false
        virtualClock.setTimer(() => this.run(() => { if (!isCancelled) run() }), delayMs)
        return { cancel: () => { isCancelled = true } }
      }
    }
  }

  get state (): HostState {
    return this.#state
  }

  /** Runs a step on the host: now, after it wakes, or never. */
  run (step: () => void): void {
    if (this.#state === 'running') step()
    else if (this.#state === 'paused') this.#backlog.push(step)
  }

  /** Gives the host a result after a delay, and after it wakes where it is paused. */
  async deliver<T> (result: Promise<T>, delayMs: number): Promise<T> {
    const settled = await result.then(value => ({ value }), (error: unknown) => ({ error }))
    await new Promise<void>(resolve => this.#virtualClock.setTimer(() => this.run(resolve), delayMs))
    if ('error' in settled) throw settled.error
    return settled.value
  }

  pause (): void {
    if (this.#state === 'running') this.#state = 'paused'
  }

  /** The host stands still right after its next decision to give an engine a request, before the request leaves; undefined calls that off. */
  pauseAtOrder (receivePause: (() => void) | undefined): void {
    this.#orderPause = receivePause
  }

  /** To be called where a request has been decided on. */
  takeOrderPause (): void {
    const receivePause = this.#orderPause
    this.#orderPause = undefined
    if (!receivePause || this.#state !== 'running') return
    this.pause()
    receivePause()
  }

  /** Everything that came while the host was paused reaches it now, in order. */
  wake (): void {
    if (this.#state !== 'paused') return
    this.#state = 'running'
    const backlog = this.#backlog
    this.#backlog = []
    for (const step of backlog) this.run(step)
  }

  /** The host is gone at once and for good. */
  kill (): void {
    if (this.#state === 'dead') return
    this.#state = 'dead'
    this.#backlog = []
    for (const receiveDeath of this.#diedHandlers) receiveDeath()
  }

  /** Calls a function when the host is killed, as the other ends of its connections notice. */
  watchDeath (receiveDeath: () => void): void {
    this.#diedHandlers.push(receiveDeath)
  }
}
