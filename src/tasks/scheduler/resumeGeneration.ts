/** Continues the answers of an engine whose connection broke, so that each event is passed on once. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { Engine, GenerateEvent, GenerateOrder, Generation } from '../../ports/engine.js'

const resumeDelaysMs = [10, 50, 200, 500]

/** Says how long to wait before the n-th resume in a row that brought nothing; undefined gives up. */
export type PlanResume = (failedResumes: number) => number | undefined

export const defaultPlanResume: PlanResume = failedResumes => resumeDelaysMs[failedResumes]

export interface ResumedGenerationOptions {
  /** Called when the rest of an answer is asked for, from the event with this number on. */
  recordResume?: (resumeFrom: number) => void
  clock: Clock
  engine: Pick<Engine, 'generate'>
  address: string
  order: GenerateOrder
  planResume: PlanResume
  send: (event: GenerateEvent) => void
  /** See `Engine.generate`. */
  mayStart: () => boolean
}

class ResumedGeneration implements Generation {
  #options: ResumedGenerationOptions
  #current: Generation
  #timer: Timer | undefined
  #failedResumes = 0
  #isCancelled = false

  constructor (options: ResumedGenerationOptions) {
    this.#options = options
    this.#current = this.#generate(options.order)
  }

  cancel (): void {
    this.#isCancelled = true
    this.#timer?.cancel()
    this.#current.cancel()
  }

  #generate (order: GenerateOrder): Generation {
    const { engine, address, mayStart } = this.#options
    return engine.generate(address, order, event => this.#receive(event), mayStart)
  }

  #receive (event: GenerateEvent): void {
    if (this.#isCancelled) return
    if (event.type === 'data') this.#failedResumes = 0
    const delayMs = event.type === 'failed' && event.resumeFrom !== undefined
      ? this.#options.planResume(this.#failedResumes)
      : undefined
    if (event.type !== 'failed' || delayMs === undefined) {
      // What is given up must not go on running under an adapter that counts as idle.
      if (event.type === 'failed' && event.failure.verdict !== 'notRun') this.#current.cancel()
      this.#options.send(event)
      return
    }
    this.#failedResumes++
    const order: GenerateOrder = { ...this.#options.order, resumeFrom: event.resumeFrom! }
    this.#options.recordResume?.(event.resumeFrom!)
    this.#timer = this.#options.clock.setTimer(() => { this.#current = this.#generate(order) }, delayMs)
  }
}

/**
 * Runs a request as `Engine.generate` does, and resumes its answer where the engine still has it.
 *
 * @example
 * const generation = startResumedGeneration({ clock, engine, address, order, planResume: defaultPlanResume, send, mayStart })
 */
export function startResumedGeneration (options: ResumedGenerationOptions): Generation {
  return new ResumedGeneration(options)
}
