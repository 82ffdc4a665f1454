/** Tracks whether one request is suspected of crashing endpoints, by the hash of its content and by its prompt parts. */
import { computeRequestFingerprint } from '../../core/requestFingerprint.js'
import { listSuspectParts } from '../../core/sharedParts.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import { formatPartFingerprint } from '../../schemas/hostRows.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { SelectedEndpoint } from './endpointSelector.js'
import type { ProxyContext } from './proxyContext.js'
import { recordInterruption } from './recordInterruption.js'

/** An attempt that was interrupted, and the reason. */
export interface Interruption {
  requestId: string | undefined
  target: SelectedEndpoint
  /** Whether the endpoint had begun its answer. */
  hasBegun: boolean
  /** In monotonic milliseconds. */
  sentAtMs: number
  reason: string
}

export class RequestSuspicion {
  #context: ProxyContext
  #fingerprint = ''
  #suspectParts: readonly string[] = []
  #isTrial = false
  #isPossibleCause = false

  constructor (context: ProxyContext) {
    this.#context = context
  }

  /** Hash of the request's content, by which requests that crash endpoints are recognized; empty before `receiveRequest`. */
  get fingerprint (): string {
    return this.#fingerprint
  }

  /** The fingerprints under which the request is listed while it is in progress. */
  get fingerprints (): string[] {
    return [this.#fingerprint, ...this.#suspectParts.map(formatPartFingerprint)]
  }

  /** Whether the request runs to find whether its parts still crash engines. */
  get isTrial (): boolean {
    return this.#isTrial
  }

  /** Whether the last attempt's engine crashed before it began its answer on a prompt part that no engine has answered. */
  get isPossibleCause (): boolean {
    return this.#isPossibleCause
  }

  receiveRequest (request: CallerRequest): void {
    this.#fingerprint = computeRequestFingerprint(request)
    this.#suspectParts = listSuspectParts(request, this.#context.clusterView.findAdapterVersion(request.model, request.adapter))
  }

  /**
   * Returns the failure if the request is known to crash endpoints; undefined if it may run, be it as a trial.
   *
   * @example
   * suspicion.findRefusal(true)?.code // 'request_crashes_endpoints'
   */
  findRefusal (canBecomeTrial: boolean): RequestFailure | undefined {
    const { suspects } = this.#context
    if (this.#isTrial) return undefined
    const refusal = suspects.findRefusal(this.#fingerprint, this.#suspectParts)
    if (!refusal || !canBecomeTrial || !suspects.tryBeginTrial(this.#fingerprint, this.#suspectParts)) return refusal
    this.#isTrial = true
    return undefined
  }

  /** An engine has begun its answer. */
  recordBegun (): void {
    this.#context.suspects.recordBegun(this.#suspectParts)
  }

  recordServed (): void {
    this.#isTrial = false
    this.#context.suspects.recordServed(this.#fingerprint)
  }

  recordPossibleRun (): void {
    this.#isTrial = false
  }

  /** Resolves once it is known whether the request may have crashed its endpoint. */
  async recordInterruption ({ target, ...interruption }: Interruption): Promise<void> {
    this.#isPossibleCause = await recordInterruption(this.#context, target, { ...interruption, content: this.#fingerprint, parts: this.#suspectParts })
  }

  /** Makes a trial due again that was not sent to an engine. */
  cancelTrial (): void {
    if (this.#isTrial) this.#context.suspects.cancelTrial(this.#suspectParts)
  }
}
