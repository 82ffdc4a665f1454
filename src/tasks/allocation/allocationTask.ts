/** The allocators of all endpoints that this host owns; passes messages from proxies to them. */
import { AccountShares } from '../../core/accountShares.js'
import type { ClusterViewChange, ClusterView } from '../../core/clusterView.js'
import type { Clock } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders } from '../../ports/engineOrders.js'
import type { HostMessage, ReservationReply } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import { EngineAllocator } from './engineAllocator.js'
import { DispatchEndpoints } from './dispatchEndpoints.js'
import type { DispatchEndpointsOptions } from './dispatchEndpoints.js'
import { LimitedEndpoints } from './limitedEndpoints.js'

export interface AllocationTaskOptions extends Pick<DispatchEndpointsOptions, 'recordDispatch'> {
  clock: Clock
  log: EventLog
  host: string
  clusterView: ClusterView
  /** Opens the connection for orders to an endpoint's engine. */
  openOrders: (endpoint: EndpointEntry) => EngineOrders
  /** Returns the requests a second that an endpoint may get; undefined if it is not limited. */
  findRate: (endpointId: string) => number | undefined
  /** Returns the fencing token for orders to an endpoint, or undefined if this host may not send it orders now. */
  findFencingToken: (endpointId: string) => number | undefined
}

/** Orders that the former owner sent just before it lost the endpoint arrive within this time. */
const takeoverDelayMs = 300

export class AllocationTask {
  #options: AllocationTaskOptions
  #allocators = new Map<string, EngineAllocator>()
  #ownedEndpointIds = new Set<string>()
  #limitedEndpoints: LimitedEndpoints
  #dispatchEndpoints: DispatchEndpoints

  constructor (options: AllocationTaskOptions) {
    this.#options = options
    this.#limitedEndpoints = new LimitedEndpoints(options)
    this.#dispatchEndpoints = new DispatchEndpoints({ ...options, createShares: () => new AccountShares(account => options.clusterView.routes?.accounts?.getWeight(account) ?? 1) })
  }

  /** `wasOwn`: this host owned the endpoint before it restarted, so no orders of another host can be in transit. */
  receiveOwnership (endpointId: string, fencing: number | undefined, wasOwn: boolean): void {
    if (fencing === undefined) {
      this.#ownedEndpointIds.delete(endpointId)
      this.#closeAllocator(endpointId, 'this host no longer owns it')
    } else {
      this.#ownedEndpointIds.add(endpointId)
      this.#openAllocator(endpointId, wasOwn ? 0 : takeoverDelayMs)
    }
  }

  receiveChange (change: ClusterViewChange): void {
    if (change.kind === 'endpoint') this.#receiveEntry(change.id, change.entry)
    if (change.kind === 'configuration') for (const endpointId of this.#ownedEndpointIds) this.#openAllocator(endpointId)
    if (change.kind === 'version') for (const allocator of this.#allocators.values()) allocator.receiveVersion(change.version.model, change.version.adapter)
  }

  /** Called when the limit of an endpoint has changed. */
  receiveLimitChange (endpointId: string): void {
    this.#allocators.get(endpointId)?.receiveLimitChange()
    this.#limitedEndpoints.receiveLimitChange(endpointId)
  }

  /** Passes a proxy's message to the endpoint's allocator; `sendReply` sends a message back to the proxy. */
  receiveMessage (message: HostMessage, sender: Pick<DatagramSender, 'session'>, sendReply: (reply: ReservationReply) => void): void {
    if (message.type === 'held') this.#allocators.get(message.endpointId)?.receiveRunningRequests(sender.session, message)
    if (message.type === 'placed') this.#allocators.get(message.endpointId)?.receiveServedElsewhere(message)
    if (message.type === 'leaving') this.#allocators.get(message.endpointId)?.receiveLeaving(message)
    if (message.type !== 'ask' && message.type !== 'done') return
    const key = `${sender.session}.${message.id}`
    const allocator = this.#allocators.get(message.endpointId)
    if (message.type === 'done') {
      allocator?.receiveRelease(key, message)
      this.#limitedEndpoints.receiveRelease(message.endpointId, key)
      this.#dispatchEndpoints.receiveRelease(message.endpointId, key, message)
      return
    }
    if (message.isForDispatch) {
      this.#dispatchEndpoints.receiveRequest(key, message, sendReply)
      return
    }
    if (message.isForLimit) {
      this.#limitedEndpoints.receiveRequest(key, message, sendReply)
      return
    }
    if (allocator) allocator.receiveRequest(key, message, sendReply)
    else sendReply({ type: 'refusal', id: message.id, code: 'not_owner', message: `this host does not own endpoint "${message.endpointId}"`, retryAfterMs: 0, expectedMs: -1 })
  }

  describeState (): unknown {
    return [...this.#allocators.values()].map(allocator => allocator.describeState())
  }

  #receiveEntry (id: string, entry: EndpointEntry | undefined): void {
    const allocator = this.#allocators.get(id)
    this.#dispatchEndpoints.receiveEntry(id, entry)
    if (entry && allocator) allocator.receiveEntry(entry)
    else if (entry && this.#ownedEndpointIds.has(id)) this.#openAllocator(id)
    else if (!entry && allocator) this.#closeAllocator(id, 'its entry was removed')
  }

  #openAllocator (endpointId: string, delayMs = takeoverDelayMs): void {
    const { clock, log, host, clusterView, openOrders } = this.#options
    if (this.#allocators.has(endpointId)) return
    const entry = clusterView.endpoints.find(endpointId, clock.readMonotonic())
    const engine = entry && clusterView.routes?.configuration.services.get(entry.service)?.engine
    if (!engine) return
    const allocator = new EngineAllocator({
      clock,
      log,
      host,
      entry,
      engine,
      orders: openOrders(entry),
      findFencingToken: () => this.#options.findFencingToken(endpointId),
      findRate: () => this.#options.findRate(endpointId),
      findVersion: (model, adapter) => clusterView.findAdapterVersion(model, adapter),
      getAccountWeight: account => clusterView.routes?.accounts?.getWeight(account) ?? 1,
      takeoverDelayMs: delayMs
    })
    this.#allocators.set(endpointId, allocator)
    allocator.start()
  }

  #closeAllocator (endpointId: string, reason: string): void {
    const allocator = this.#allocators.get(endpointId)
    if (!allocator) return
    this.#allocators.delete(endpointId)
    allocator.stop(`this host accepts no requests for endpoint "${endpointId}": ${reason}`)
  }
}
