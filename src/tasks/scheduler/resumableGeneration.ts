/** Resumes an engine's answer after a connection loss, so that each event is passed on exactly once. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { Engine, GenerateEvent, GenerationRequest, Generation } from '../../ports/engine.js'

const resumeDelaysMs = [10, 50, 200, 500]

/** Returns the delay in milliseconds before the next resume, given how many in a row brought no data; undefined to give up. */
export type GetResumeDelayMs = (failedResumes: number) => number | undefined

export const getDefaultResumeDelayMs: GetResumeDelayMs = failedResumes => resumeDelaysMs[failedResumes]

export interface ResumableGenerationOptions {
  /** Called when an answer is resumed, with the number of the first event that is requested. */
  recordResume?: (resumeFrom: number) => void
  clock: Clock
  engine: Pick<Engine, 'generate'>
  address: string
  order: GenerationRequest
  getResumeDelayMs: GetResumeDelayMs
  send: (event: GenerateEvent) => void
  /** See `Engine.generate`. */
  mayStart: () => boolean
}

class ResumableGeneration implements Generation {
  #options: ResumableGenerationOptions
  #current: Generation
  #resumeTimer: Timer | undefined
  #failedResumes = 0
  #isCancelled = false

  constructor (options: ResumableGenerationOptions) {
    this.#options = options
    this.#current = this.#generate(options.order)
  }

  cancel (): void {
    this.#isCancelled = true
    this.#resumeTimer?.cancel()
    this.#current.cancel()
  }

  #generate (order: GenerationRequest): Generation {
    const { engine, address, mayStart } = this.#options
    return engine.generate(address, order, event => this.#receiveEvent(event), mayStart)
  }

  #receiveEvent (event: GenerateEvent): void {
    if (this.#isCancelled) return
    if (event.type === 'data') this.#failedResumes = 0
    const delayMs = event.type === 'failed' && event.resumeFrom !== undefined
      ? this.#options.getResumeDelayMs(this.#failedResumes)
      : undefined
    if (event.type !== 'failed' || delayMs === undefined) {
      // Cancel a request that is given up: it must not keep running on an adapter that counts as idle.
      if (event.type === 'failed' && event.failure.verdict !== 'notRun') this.#current.cancel()
      this.#options.send(event)
      return
    }
    this.#failedResumes++
    const order: GenerationRequest = { ...this.#options.order, resumeFrom: event.resumeFrom! }
    this.#options.recordResume?.(event.resumeFrom!)
    this.#resumeTimer = this.#options.clock.setTimer(() => { this.#current = this.#generate(order) }, delayMs)
  }
}

/**
 * Runs a request as `Engine.generate` does, and resumes its answer after a connection loss if the engine still has it.
 *
 * @example
 * const generation = startResumableGeneration({ clock, engine, address, order, getResumeDelayMs: getDefaultResumeDelayMs, send, mayStart })
 */
export function startResumableGeneration (options: ResumableGenerationOptions): Generation {
  return new ResumableGeneration(options)
}
