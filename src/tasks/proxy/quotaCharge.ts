/** Charges one request to the quota of its account, and returns its cost if it has not run. */
import type { EventFields } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { ClientAccount } from '../../schemas/routing.js'
import type { ChargeResult, RefusedCharge } from '../quota/quotaClient.js'
import type { ProxyContext } from './proxyContext.js'

export const quotaExceededStatus = 429
export const quotaExceededCode = 'quota_exceeded'

export class QuotaCharge {
  #context: Pick<ProxyContext, 'quotas'>
  #result: ChargeResult | undefined
  #hasEnded = false

  constructor (context: Pick<ProxyContext, 'quotas'>) {
    this.#context = context
  }

  /** Fields of the log line of a request that was refused. */
  get details (): EventFields | undefined {
    return this.#result?.kind === 'refused' ? this.#result.details : undefined
  }

  /** Returns the refusal, or undefined if the request may run; a promise only if the host has to wait for tokens. */
  charge (account: ClientAccount | undefined, request: CallerRequest): RefusedCharge | undefined | Promise<RefusedCharge | undefined> {
    // The host that received a forwarded request from its caller has charged it.
    if (!account?.quota || !this.#context.quotas || request.forwarded) return undefined
    const { promptTokens, maxTokens, hasTokenCounts = false } = request
    const result = this.#context.quotas.charge(account, { promptTokens, maxTokens, hasTokenCounts })
    return result instanceof Promise ? result.then(settled => this.#receiveResult(settled)) : this.#receiveResult(result)
  }

  /** Called once when the request has ended. */
  end (hasRun: boolean): void {
    this.#hasEnded = true
    if (!hasRun && this.#result?.kind === 'charged') this.#result.refund()
  }

  #receiveResult (result: ChargeResult): RefusedCharge | undefined {
    this.#result = result
    // The caller left, or the deadline passed, while the request waited for tokens.
    if (this.#hasEnded && result.kind === 'charged') result.refund()
    return result.kind === 'refused' ? result : undefined
  }
}
