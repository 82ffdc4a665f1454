/** Endpoints of a plain service of the fuzzed system, at the service port; each keeps a journal that the oracle reads. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { ServiceClient, ServiceCall, ServiceOutcome } from '../src/ports/serviceClient.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../src/schemas/verdict.js'
import type { FakeHost } from './fakeHost.js'

const networkDelayMs = 1
const workMs = 60
const restartMs = 1500

export interface StartedCall {
  requestId: string
  atMs: number
}

/** Text of the answer to a call. */
export function renderCallAnswer (requestId: string, content: string): string {
  return `${requestId}: ${content}`
}

export class FakeService {
  readonly id: string
  readonly started: StartedCall[] = []
  isStalled = false
  /** Answers of the next calls that are lost after the work was done. */
  answersToLose = 0
  #clock: VirtualClock
  #isUp = true
  #open = new Set<() => void>()

  constructor (id: string, clock: VirtualClock) {
    this.id = id
    this.#clock = clock
  }

  get isUp (): boolean {
    return this.#isUp
  }

  async call ({ requestId, body }: ServiceCall): Promise<ServiceOutcome> {
    if (!this.#isUp) return { type: 'failed', failure: createNotRunFailure('endpoint_unreachable', 'connection refused', 503) }
    this.started.push({ requestId, atMs: this.#clock.readMonotonic() })
    return await new Promise<ServiceOutcome>(resolve => {
      const lose = (): void => resolve({ type: 'failed', failure: createMayHaveRunFailure('endpoint_lost', 'the connection was reset', 502) })
      this.#open.add(lose)
      const answer = (): void => {
        if (!this.#open.has(lose)) return
        if (this.isStalled) {
          this.#clock.setTimer(answer, workMs)
          return
        }
        this.#open.delete(lose)
        if (this.answersToLose > 0) {
          this.answersToLose--
          lose()
        } else {
          resolve({ type: 'answered', status: 200, headers: {}, body: Buffer.from(renderCallAnswer(requestId, Buffer.from(body).toString())) })
        }
      }
      this.#clock.setTimer(answer, workMs)
    })
  }

  /** Cuts off every call and comes back after a time. */
  restart (): void {
    if (!this.#isUp) return
    this.#isUp = false
    const open = [...this.#open]
    this.#open.clear()
    for (const lose of open) lose()
    this.#clock.setTimer(() => { this.#isUp = true }, restartMs)
  }
}

/** The service port as one host uses it. */
export function createHostService (
  host: FakeHost, services: Map<string, FakeService>, clock: VirtualClock, readOutcome: (outcome: ServiceOutcome) => ServiceOutcome
): ServiceClient {
  const delay = async (): Promise<void> => await new Promise(resolve => clock.setTimer(resolve, networkDelayMs))
  return {
    call: async (address, call) => readOutcome(await host.deliver(delay().then(async () => await services.get(address)!.call(call)), networkDelayMs))
  }
}
