/** Decides for which client account a request is served, and decides again once a new configuration is applied. */
import type { RouteTable } from '../../core/routeTable.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { ClientAccount, Route } from '../../schemas/routing.js'
import type { ProxyContext } from './proxyContext.js'

/** A request that may be served, as endpoints and other hosts get it. */
export interface Admission {
  /** Without the caller's key. */
  readonly request: CallerRequest
  /** With the rank of the account. */
  readonly route: Route
  /** Undefined if no keys are checked, or if a public route is requested without a known key. */
  readonly account: ClientAccount | undefined
}

export class AccountAccess {
  #context: Pick<ProxyContext, 'removeAccountHeaders'>
  /** The request as this host received it, with the key. */
  #received: CallerRequest
  #route: Route
  #checkedRoutes: RouteTable | undefined
  #admission: Admission | undefined
  /** Whether a configuration of this host had the account that another host found. */
  #wasForwardedAccountKnown = false

  constructor (context: Pick<ProxyContext, 'removeAccountHeaders'>, received: CallerRequest, route: Route) {
    this.#context = context
    this.#received = received
    this.#route = route
  }

  /**
   * Checks the request against the current configuration; undefined if it has no key of an account and needs one.
   *
   * @example
   * new AccountAccess(context, request, route).check(clusterView.routes)?.account?.name // 'acme'
   */
  check (routes: RouteTable): Admission | undefined {
    if (routes !== this.#checkedRoutes) {
      this.#admission = this.#decide(routes)
      this.#checkedRoutes = routes
    }
    return this.#admission
  }

  /** Why a request is refused that is not admitted; names no key. */
  get refusalReason (): string {
    const { apiKey, forwarded } = this.#received
    if (forwarded?.account !== undefined) return `account "${forwarded.account}" was removed`
    return apiKey === undefined ? 'the request has no key, or not exactly one' : 'no client account has the key of the request'
  }

  #decide (routes: RouteTable): Admission | undefined {
    const { apiKey, forwarded } = this.#received
    if (forwarded?.account !== undefined) return this.#decideForwarded(routes, forwarded.account)
    // A request that was admitted under a configuration with accounts stays without its key.
    if (!routes.accounts) return this.#admission ?? { request: this.#received, route: this.#route, account: undefined }
    const account = routes.accounts.findByKey(apiKey)
    return account || this.#isPublic(routes) ? this.#admit(account) : undefined
  }

  /** A request keeps its route for as long as it is in progress; only whether the route needs a key may change. */
  #isPublic (routes: RouteTable): boolean {
    const { host, path } = this.#received
    const route = this.#checkedRoutes ? routes.findRoute(host, path) : undefined
    return (route ?? this.#route).isPublic
  }

  /**
   * The host that received the request has checked its key, and may have a newer configuration than this one. A request is refused
   * only if its account is known to have been removed.
   */
  #decideForwarded (routes: RouteTable, name: string): Admission | undefined {
    const account = routes.accounts?.findByName(name)
    if (account) this.#wasForwardedAccountKnown = true
    else if (routes.accounts && this.#wasForwardedAccountKnown && !this.#isPublic(routes)) return undefined
    return this.#admit(account ?? (name === '' ? undefined : { name, keys: [], rank: undefined, quota: undefined }))
  }

  #admit (account: ClientAccount | undefined): Admission {
    const name = account?.name ?? ''
    return {
      request: this.#admission?.request.account === name ? this.#admission.request : this.#createRequest(name),
      route: account?.rank === undefined ? this.#route : { ...this.#route, rank: account.rank },
      account
    }
  }

  /** All keys of an account identify the same caller, and hosts that get the request from this one have no key. */
  #createRequest (account: string): CallerRequest {
    const { apiKey, ...request } = this.#received
    return { ...request, headers: this.#context.removeAccountHeaders(request.headers), callerKey: account === '' ? '' : `account ${account}`, account }
  }
}
