/** Sends calls to plain services: to the least busy endpoint, again only where that can do no harm. */
import type { Clock } from '../../ports/clock.js'
import type { Service, ServiceCall, ServiceOutcome } from '../../ports/service.js'
import type { RecordDecision, Wait } from '../../schemas/decision.js'
import type { HostListEntry, ServiceEntry } from '../../schemas/hostList.js'
import { addEarlierAttempts, createNotRun } from '../../schemas/verdict.js'
import { describeAdmittedCall, describeCallChoice, describeCallEnd } from './describeCall.js'

const maxAttempts = 3
const retryAfterNoEndpointMs = 2000
/** A call waits this long for an endpoint to appear on the list. */
const maxWaitForEndpointMs = 5000
/** Cost of leaving the availability zone, in calls under way. */
const otherZoneCost = 0.5

export interface ServiceRouterOptions {
  clock: Clock
  zone: string
  service: Service
  recordDecision: RecordDecision
}

export interface RoutedCall {
  requestId: string
  service: string
  /** Whether running it twice does no harm. */
  isRepeatable: boolean
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

export interface ServiceResult {
  outcome: ServiceOutcome
  /** Empty where no endpoint was found. */
  endpointId: string
  attempt: number
}

export class ServiceRouter {
  #options: ServiceRouterOptions
  #entries: ServiceEntry[] = []
  #underWay = new Map<string, number>()
  #waiting = new Set<() => void>()

  constructor (options: ServiceRouterOptions) {
    this.#options = options
  }

  receiveList (entries: HostListEntry[]): void {
    this.#entries = entries.filter(entry => entry.kind === 'service')
    for (const wake of [...this.#waiting]) wake()
  }

  /** Runs a call; aborting the signal gives it up. */
  async runCall (call: RoutedCall, signal: AbortSignal): Promise<ServiceResult> {
    const tried: string[] = []
    this.#options.recordDecision(describeAdmittedCall(call))
    const waits = await this.#waitForEndpoint(call.service, signal)
    let result = await this.#runAttempt(call, tried, signal, waits)
    while (this.#isRetryAllowed(call, result) && tried.length < maxAttempts && !signal.aborted) {
      this.#options.recordDecision(describeCallEnd(call, result, 'retry'))
      const next = await this.#runAttempt(call, tried, signal, [])
      if (next.endpointId === '') break
      result = joinResults(result, next)
    }
    this.#options.recordDecision(describeCallEnd(call, result))
    return result
  }

  async #waitForEndpoint (service: string, signal: AbortSignal): Promise<Wait[]> {
    if (this.#chooseEndpoint(service, [])) return []
    const startedMs = this.#options.clock.readMonotonic()
    await new Promise<void>(resolve => {
      const finish = (): void => {
        timer.cancel()
        this.#waiting.delete(wake)
        resolve()
      }
      const wake = (): void => { if (this.#chooseEndpoint(service, [])) finish() }
      const timer = this.#options.clock.setTimer(finish, maxWaitForEndpointMs)
      this.#waiting.add(wake)
      signal.addEventListener('abort', finish, { once: true })
    })
    return [{ cause: 'queue', ms: this.#options.clock.readMonotonic() - startedMs }]
  }

  #isRetryAllowed (call: RoutedCall, { outcome, endpointId }: ServiceResult): boolean {
    if (outcome.type === 'answered' || endpointId === '') return false
    return outcome.failure.verdict === 'notRun' || (call.isRepeatable && outcome.failure.verdict === 'mayHaveRun')
  }

  async #runAttempt (call: RoutedCall, tried: string[], signal: AbortSignal, waits: Wait[]): Promise<ServiceResult> {
    const entry = this.#chooseEndpoint(call.service, tried)
    if (!entry) {
      const failure = createNotRun('no_endpoint', `no endpoint serves service "${call.service}" at the moment`, 503, retryAfterNoEndpointMs)
      return { outcome: { type: 'failed', failure }, endpointId: '', attempt: tried.length + 1 }
    }
    tried.push(entry.id)
    const attempt: ServiceCall = { ...call, attempt: tried.length }
    this.#options.recordDecision(describeCallChoice(call, entry, tried.length, waits))
    this.#count(entry.id, 1)
    const outcome = await this.#options.service.call(entry.address, attempt, signal)
    this.#count(entry.id, -1)
    return { outcome, endpointId: entry.id, attempt: tried.length }
  }

  #chooseEndpoint (service: string, tried: string[]): ServiceEntry | undefined {
    const rate = (entry: ServiceEntry): number =>
      (this.#underWay.get(entry.id) ?? 0) + (entry.zone === this.#options.zone ? 0 : otherZoneCost)
    return this.#entries
      .filter(entry => entry.service === service && entry.presence === 'live' && !tried.includes(entry.id))
      .sort((left, right) => rate(left) - rate(right))[0]
  }

  #count (endpointId: string, change: number): void {
    this.#underWay.set(endpointId, (this.#underWay.get(endpointId) ?? 0) + change)
  }
}

function joinResults (earlier: ServiceResult, next: ServiceResult): ServiceResult {
  if (earlier.outcome.type === 'answered' || next.outcome.type === 'answered') return next
  const failure = addEarlierAttempts(next.outcome.failure, earlier.outcome.failure.verdict !== 'notRun')
  return { ...next, outcome: { type: 'failed', failure } }
}
