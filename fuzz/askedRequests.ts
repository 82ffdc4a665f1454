/** Requests and calls as callers send them; each gateway does for them what its callers' port does. */
import type { KeyRecord } from '../src/schemas/configuration.js'
import type { RequestFailure } from '../src/schemas/verdict.js'
import type { IdempotencyClaim } from '../src/tasks/idempotency/idempotencyClaimTask.js'
import type { KeyedRequest } from '../src/tasks/idempotency/claimRow.js'
import type { RoutedRequest } from '../src/tasks/gateway/routedRequest.js'
import type { RoutedCall } from '../src/tasks/gateway/serviceRouter.js'
import { isCallIdempotent } from '../src/core/callIdempotency.js'
import { resolveRequest } from '../src/tasks/gateway/resolveRequest.js'
import type { ValidationResult } from '../src/tasks/gateway/callerAccess.js'
import type { FuzzGateway, FuzzSurroundings } from './fuzzHosts.js'
import type { AskedRecord, CallPlan, CallerRecord, CallRecord, RequestPlan } from './records.js'

const callerKey: KeyRecord = {
  kind: 'key', name: 'caller', role: 'caller', hash: '0'.repeat(64), adapters: ['*'], services: ['*'], classes: ['*']
}

export const fuzzService = 'desk'

export interface AskedRequestsOptions extends Pick<FuzzSurroundings, 'clock' | 'mechanisms'> {
  gateways: FuzzGateway[]
  isDisturbed: () => boolean
}

/** Resolves a request for a model as the callers' port does. */
export function resolveFuzzRequest (gateway: FuzzGateway, requestId: string, plan: RequestPlan, clock: FuzzSurroundings['clock']): ValidationResult<RoutedRequest> {
  return resolveRequest(gateway.configuration.view, {
    requestId,
    path: '/v1/chat/completions',
    body: { model: plan.model, stream: true, max_tokens: plan.tokens, messages: [{ role: 'user', content: plan.content }] },
    className: plan.className,
    idempotencyKey: plan.key,
    caller: callerKey,
    arrivedAtMs: clock.readMonotonic(),
    arrivedAtWallMs: clock.readWall()
  }, text => text)
}

/** Finds the gateway that a plan names, if it takes callers. */
export function findOpenGateway (gateways: FuzzGateway[], index: number): FuzzGateway | undefined {
  const gateway = gateways[index % gateways.length]
  const isOpen = gateway?.host.state === 'running' && gateway.isServing && gateway.configuration.view.isCurrent()
  return isOpen ? gateway : undefined
}

export class AskedRequests {
  readonly callers: CallerRecord[] = []
  readonly calls: CallRecord[] = []
  #options: AskedRequestsOptions
  #started = 0

  constructor (options: AskedRequestsOptions) {
    this.#options = options
  }

  /** Everything that is still open. */
  listOpen (): AskedRecord[] {
    return [...this.callers, ...this.calls].filter(record => record.outcome === 'open')
  }

  /** Sends a request for a model; what comes back is written into its record. */
  sendRequest (plan: RequestPlan): void {
    const { gateways, clock } = this.#options
    const gateway = findOpenGateway(gateways, plan.gateway)
    const requestId = `req-${++this.#started}`
    const resolved = gateway && resolveFuzzRequest(gateway, requestId, plan, clock)
    if (!resolved?.isValid) return
    const { adapter, version, body, callerName } = resolved.value
    const record: CallerRecord = { ...this.#createRecord(gateway!, requestId, plan.key), adapter, version, tokens: plan.tokens }
    this.callers.push(record)
    const run = (claim: IdempotencyClaim | undefined): void => this.#runRequest(gateway!, resolved.value, record, claim)
    if (plan.key === undefined) run(undefined)
    else this.#runClaimed(gateway!, record, { callerName, idempotencyKey: plan.key, bodyHash: `${adapter} ${version} ${body}`, requestId }, run)
  }

  /** Sends a call of the plain service; what comes back is written into its record. */
  sendCall (plan: CallPlan): void {
    const gateway = findOpenGateway(this.#options.gateways, plan.gateway)
    const service = gateway?.configuration.view.findService(fuzzService)
    if (!gateway || !service) return
    const requestId = `call-${++this.#started}`
    const path = plan.isIdempotent ? '/kits' : '/check-ins'
    const content = plan.key === undefined ? `content of ${requestId}` : `content of ${plan.key}`
    const isIdempotent = plan.key === undefined && isCallIdempotent(service, 'POST', path)
    const call: RoutedCall = {
      requestId,
      service: fuzzService,
      isRetryable: this.#options.mechanisms.isCallRepeatable(isIdempotent),
      method: 'POST',
      path,
      headers: {},
      body: Buffer.from(content)
    }
    const record: CallRecord = { ...this.#createRecord(gateway, requestId, plan.key), content, isIdempotent }
    this.calls.push(record)
    const run = (claim: IdempotencyClaim | undefined): void => { this.#runCall(gateway, call, record, claim) }
    if (plan.key === undefined) run(undefined)
    else this.#runClaimed(gateway, record, { callerName: callerKey.name, idempotencyKey: plan.key, bodyHash: `${path} ${content}`, requestId }, run)
  }

  /** The caller hangs up. */
  cancelRequest (index: number): void {
    const open = this.callers.filter(record => record.outcome === 'open')
    const record = open[index % Math.max(1, open.length)]
    const gateway = record && this.#options.gateways.find(({ host }) => host.id === record.gatewayId)
    if (gateway?.host.state !== 'running') return
    this.#end(record!, 'cancelled', undefined)
    gateway.task.router.cancelRequest(record!.requestId)
  }

  /** The callers of a killed gateway lose their connections. */
  loseGateway (gatewayId: string): void {
    for (const record of this.listOpen()) {
      if (record.gatewayId === gatewayId) this.#end(record, 'cancelled', undefined)
    }
  }

  #createRecord (gateway: FuzzGateway, requestId: string, idempotencyKey: string | undefined): AskedRecord {
    return {
      requestId,
      idempotencyKey,
      gatewayId: gateway.host.id,
      startedAtMs: this.#options.clock.readMonotonic(),
      endedAtMs: undefined,
      text: '',
      outcome: 'open',
      failure: undefined,
      isReplayed: false,
      isDisturbed: this.#options.isDisturbed()
    }
  }

  #runRequest (gateway: FuzzGateway, request: RoutedRequest, record: CallerRecord, claim: IdempotencyClaim | undefined): void {
    gateway.task.router.startRequest(request, event => {
      if (event.type === 'data') {
        record.text += event.data
        return
      }
      this.#settle(gateway, record, claim, event.type === 'failed' ? event.failure : undefined)
    })
  }

  async #runCall (gateway: FuzzGateway, call: RoutedCall, record: CallRecord, claim: IdempotencyClaim | undefined): Promise<void> {
    const { outcome } = await gateway.task.services.runCall(call, new AbortController().signal)
    if (outcome.type === 'answered') record.text = Buffer.from(outcome.body).toString()
    this.#settle(gateway, record, claim, outcome.type === 'failed' ? outcome.failure : undefined)
  }

  /** Claims first, runs what it claimed, or tells what became of the earlier request. */
  async #runClaimed (gateway: FuzzGateway, record: AskedRecord, work: KeyedRequest, run: (claim: IdempotencyClaim) => void): Promise<void> {
    const result = await this.#options.mechanisms.takeClaim(gateway.claims, work)
    if (record.outcome !== 'open') return
    if (result.type === 'claimed') {
      run(result.claim)
    } else if (result.type === 'answered') {
      record.text = Buffer.from(result.answer.body).toString()
      record.isReplayed = true
      this.#end(record, 'whole', undefined)
    } else {
      this.#end(record, 'failed', result.failure)
    }
  }

  #settle (gateway: FuzzGateway, record: AskedRecord, claim: IdempotencyClaim | undefined, failure: RequestFailure | undefined): void {
    // A claim without a key is one that a test has made up.
    if (claim && claim.key !== '') {
      if (failure) gateway.claims.recordFailure(claim, failure)
      else gateway.claims.storeAnswer(claim, { status: 200, headers: {}, body: Buffer.from(record.text) })
    }
    if (record.outcome === 'open') this.#end(record, failure ? 'failed' : 'whole', failure)
  }

  #end (record: AskedRecord, outcome: AskedRecord['outcome'], failure: RequestFailure | undefined): void {
    if (this.#options.isDisturbed()) record.isDisturbed = true
    record.outcome = outcome
    record.failure = failure
    record.endedAtMs = this.#options.clock.readMonotonic()
  }
}
