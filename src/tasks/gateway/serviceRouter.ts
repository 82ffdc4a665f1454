/** Routes calls to plain HTTP services: selects the least busy endpoint, and retries only if running the call again is safe. */
import type { Clock } from '../../ports/clock.js'
import type { ServiceClient, ServiceCall, ServiceOutcome } from '../../ports/serviceClient.js'
import type { RecordDecision, Wait } from '../../schemas/decision.js'
import type { HostListEntry, ServiceEntry } from '../../schemas/hostList.js'
import { applyEarlierAttempts, createNotRunFailure } from '../../schemas/verdict.js'
import { describeAdmittedCall, describeCallChoice, describeCallEnd } from './describeCall.js'

const maxAttempts = 3
const retryAfterNoEndpointMs = 2000
/** Longest wait of a call for an endpoint to appear on the list of hosts. */
const maxWaitForEndpointMs = 5000
/** Penalty for an endpoint in another availability zone, as a number of calls in flight. */
const otherZonePenaltyCalls = 0.5

export interface ServiceRouterOptions {
  clock: Clock
  zone: string
  service: ServiceClient
  recordDecision: RecordDecision
}

export interface RoutedCall {
  requestId: string
  service: string
  /** Whether the call can safely run more than once. */
  isRetryable: boolean
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

export interface ServiceResult {
  outcome: ServiceOutcome
  /** Empty if no endpoint was available. */
  endpointId: string
  attempt: number
}

export class ServiceRouter {
  #options: ServiceRouterOptions
  #entries: ServiceEntry[] = []
  #callsInFlight = new Map<string, number>()
  #waitingCallbacks = new Set<() => void>()

  constructor (options: ServiceRouterOptions) {
    this.#options = options
  }

  receiveList (entries: HostListEntry[]): void {
    this.#entries = entries.filter(entry => entry.kind === 'service')
    for (const wake of [...this.#waitingCallbacks]) wake()
  }

  /** Runs a call with its retries. Aborting the signal cancels it. */
  async runCall (call: RoutedCall, signal: AbortSignal): Promise<ServiceResult> {
    const attemptedEndpointIds: string[] = []
    this.#options.recordDecision(describeAdmittedCall(call))
    const waits = await this.#waitForEndpoint(call.service, signal)
    let result = await this.#runAttempt(call, attemptedEndpointIds, signal, waits)
    while (this.#isRetryAllowed(call, result) && attemptedEndpointIds.length < maxAttempts && !signal.aborted) {
      this.#options.recordDecision(describeCallEnd(call, result, 'retry'))
      const next = await this.#runAttempt(call, attemptedEndpointIds, signal, [])
      if (next.endpointId === '') break
      result = mergeResults(result, next)
    }
    this.#options.recordDecision(describeCallEnd(call, result))
    return result
  }

  async #waitForEndpoint (service: string, signal: AbortSignal): Promise<Wait[]> {
    if (this.#chooseEndpoint(service, [])) return []
    const waitStartedAtMs = this.#options.clock.readMonotonic()
    await new Promise<void>(resolve => {
      const finish = (): void => {
        timer.cancel()
        this.#waitingCallbacks.delete(wake)
        resolve()
      }
      const wake = (): void => { if (this.#chooseEndpoint(service, [])) finish() }
      const timer = this.#options.clock.setTimer(finish, maxWaitForEndpointMs)
      this.#waitingCallbacks.add(wake)
      signal.addEventListener('abort', finish, { once: true })
    })
    return [{ cause: 'queue', ms: this.#options.clock.readMonotonic() - waitStartedAtMs }]
  }

  #isRetryAllowed (call: RoutedCall, { outcome, endpointId }: ServiceResult): boolean {
    if (outcome.type === 'answered' || endpointId === '') return false
    return outcome.failure.verdict === 'notRun' || (call.isRetryable && outcome.failure.verdict === 'mayHaveRun')
  }

  async #runAttempt (call: RoutedCall, attemptedEndpointIds: string[], signal: AbortSignal, waits: Wait[]): Promise<ServiceResult> {
    const entry = this.#chooseEndpoint(call.service, attemptedEndpointIds)
    if (!entry) {
      const failure = createNotRunFailure('no_endpoint', `no endpoint serves service "${call.service}" at the moment`, 503, retryAfterNoEndpointMs)
      return { outcome: { type: 'failed', failure }, endpointId: '', attempt: attemptedEndpointIds.length + 1 }
    }
    attemptedEndpointIds.push(entry.id)
    const attempt: ServiceCall = { ...call, attempt: attemptedEndpointIds.length }
    this.#options.recordDecision(describeCallChoice(call, entry, attemptedEndpointIds.length, waits))
    this.#changeCallsInFlight(entry.id, 1)
    const outcome = await this.#options.service.call(entry.address, attempt, signal)
    this.#changeCallsInFlight(entry.id, -1)
    return { outcome, endpointId: entry.id, attempt: attemptedEndpointIds.length }
  }

  #chooseEndpoint (service: string, attemptedEndpointIds: string[]): ServiceEntry | undefined {
    const computeCost = (entry: ServiceEntry): number =>
      (this.#callsInFlight.get(entry.id) ?? 0) + (entry.zone === this.#options.zone ? 0 : otherZonePenaltyCalls)
    return this.#entries
      .filter(entry => entry.service === service && entry.presence === 'live' && !attemptedEndpointIds.includes(entry.id))
      .sort((left, right) => computeCost(left) - computeCost(right))[0]
  }

  #changeCallsInFlight (endpointId: string, change: number): void {
    this.#callsInFlight.set(endpointId, (this.#callsInFlight.get(endpointId) ?? 0) + change)
  }
}

function mergeResults (earlier: ServiceResult, next: ServiceResult): ServiceResult {
  if (earlier.outcome.type === 'answered' || next.outcome.type === 'answered') return next
  const failure = applyEarlierAttempts(next.outcome.failure, earlier.outcome.failure.verdict !== 'notRun')
  return { ...next, outcome: { type: 'failed', failure } }
}
