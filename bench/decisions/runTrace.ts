/** Runs a trace over the real router, endpoint task and decisions on a virtual clock. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { ChooseEndpoint, EndpointView } from '../../src/core/endpointChoice.js'
import { formatHandle } from '../../src/core/handleFormat.js'
import { LoadBudget } from '../../src/core/loadBudget.js'
import type { CreatePlanner, EndpointPlanner } from '../../src/core/planner.js'
import { defaultRetryBudget, RetryBudget } from '../../src/core/retryBudget.js'
import { shutdownRules } from '../../src/core/shutdownRules.js'
import { SuspectRegistry } from '../../src/core/suspectRegistry.js'
import { computeDueInMs } from '../../src/core/targetTime.js'
import type { EndpointSummary, PeerMessage } from '../../src/schemas/peerMessage.js'
import type { RoutedRequest } from '../../src/tasks/gateway/routedRequest.js'
import { RequestRouter } from '../../src/tasks/gateway/requestRouter.js'
import { EndpointTask } from '../../src/tasks/scheduler/endpointTask.js'
import { createRandom } from './traces.js'
import { VirtualEngines } from './virtualEngines.js'
import type { LoadTimes } from './virtualEngines.js'
import type { Deployment, Trace, TraceRequest } from './workload.js'

export interface Policy {
  name: string
  createPlanner: CreatePlanner
  createChoice: (deployment: Deployment) => ChooseEndpoint
}

/** What became of a request; times in milliseconds of the trace. */
export interface RequestRecord {
  request: TraceRequest
  arrivedAtMs: number
  dueAtMs: number
  dispatchedAtMs: number | undefined
  handle: string | undefined
  firstTokenAtMs: number | undefined
  finishedAtMs: number | undefined
  failedCode: string | undefined
  refusals: number
}

/** Times of calls, in milliseconds. */
export type DecisionCost = number[]

export interface RunRecord {
  requests: RequestRecord[]
  loads: Map<string, LoadTimes>
  tokens: number
  steps: number
  planning: DecisionCost
  choosing: DecisionCost
}

const summaryIntervalMs = 750
const changeDelayMs = 5
const linkDelayMs = 1
const drainMs = 180_000

/** Runs a trace to its end, and what is left in the queues then for at most three minutes. */
export async function runTrace (trace: Trace, policy: Policy): Promise<RunRecord> {
  const run = new TraceRun(trace, policy)
  return await run.start()
}

class TraceRun {
  #trace: Trace
  #policy: Policy
  #clock = new VirtualClock()
  #random: () => number
  #engines: VirtualEngines
  #endpoints: EndpointTask[] = []
  #gateways: Gateway[] = []
  #budget: LoadBudget
  #grants = new Map<string, () => void>()
  #permits = 0
  #records = new Map<string, RequestRecord>()
  #result: RunRecord

  constructor (trace: Trace, policy: Policy) {
    this.#trace = trace
    this.#policy = policy
    this.#random = createRandom(trace.seed + 77)
    this.#result = { requests: [], loads: new Map(), tokens: 0, steps: 0, planning: [], choosing: [] }
    this.#budget = new LoadBudget(trace.deployment, 0)
    this.#engines = new VirtualEngines({
      clock: this.#clock,
      deployment: trace.deployment,
      findRequest: requestId => this.#records.get(requestId)!.request,
      journal: {
        loads: this.#result.loads,
        dispatched: (requestId, handle) => this.#recordDispatched(requestId, handle),
        recordStep: (atMs, tokens) => this.#recordStep(atMs, tokens)
      }
    })
  }

  async start (): Promise<RunRecord> {
    const { deployment, requests, events, endMs } = this.#trace
    for (let index = 0; index < deployment.engines; index++) this.#endpoints.push(this.#createEndpoint(index))
    for (let index = 0; index < deployment.hosts; index++) this.#gateways.push(this.#createGateway(index))
    for (let host = 0; host < deployment.hosts; host++) this.#repeatSummaries(host, host * 31)
    for (const request of requests) this.#clock.setTimer(() => this.#sendRequest(request, 0), request.atMs)
    for (const event of events) {
      this.#clock.setTimer(() => {
        if (event.kind === 'engineRestarts') this.#engines.restartEngine(event.engine)
        else this.#engines.store.setSlowdown(event.factor)
      }, event.atMs)
    }
    await this.#clock.runUntilSettled(endMs)
    for (let untilMs = endMs; untilMs < endMs + drainMs && this.#isBusy(); untilMs += 5000) await this.#clock.runUntilSettled(untilMs)
    this.#result.requests = [...this.#records.values()]
    return this.#result
  }

  #isBusy (): boolean {
    return this.#gateways.some(gateway => gateway.router.running > 0)
  }

  // Requests

  #sendRequest (request: TraceRequest, returns: number): void {
    const nowMs = this.#clock.readMonotonic()
    const dueAtMs = nowMs + computeDueInMs(request.workClass.target, this.#clock.readWall())
    const record: RequestRecord = this.#records.get(request.id) ?? {
      request,
      arrivedAtMs: nowMs,
      dueAtMs,
      dispatchedAtMs: undefined,
      handle: undefined,
      firstTokenAtMs: undefined,
      finishedAtMs: undefined,
      failedCode: undefined,
      refusals: 0
    }
    // A caller that comes back asks anew, with a target of its own.
    Object.assign(record, { arrivedAtMs: nowMs, dueAtMs, failedCode: undefined })
    this.#records.set(request.id, record)
    const gateway = this.#gateways[Math.floor(this.#random() * this.#gateways.length)]!
    gateway.router.startRequest(createRoutedRequest(record), event => {
      const atMs = this.#clock.readMonotonic()
      if (event.type === 'data') record.firstTokenAtMs = atMs
      else if (event.type === 'end') record.finishedAtMs = atMs
      else {
        record.failedCode = event.failure.code
        record.refusals++
        const { retryAfterMs } = event.failure
        if (retryAfterMs === undefined || returns >= this.#trace.maxReturns) return
        this.#clock.setTimer(() => this.#sendRequest(request, returns + 1), retryAfterMs)
      }
    })
  }

  #recordDispatched (requestId: string, handle: string): void {
    const record = this.#records.get(requestId)
    if (record) Object.assign(record, { dispatchedAtMs: this.#clock.readMonotonic(), handle })
  }

  #recordStep (atMs: number, tokens: number): void {
    if (atMs < this.#trace.warmUpMs || atMs > this.#trace.endMs) return
    this.#result.tokens += tokens
    this.#result.steps++
  }

  // Hosts

  #createEndpoint (index: number): EndpointTask {
    const { deployment } = this.#trace
    const { slots, batchLimit } = deployment
    const id = `engine-${index}`
    let sequence = 0
    const endpoint = new EndpointTask({
      clock: this.#clock,
      engine: this.#engines,
      entry: {
        kind: 'engine', id, zone: `az-${index % deployment.zones}`, address: String(index), presence: 'live', baseModel: 'base', slots, batchLimit
      },
      // Each endpoint has a fencing number of its own, so that handles are unique in the journal.
      fencing: index,
      adoptableHandles: [],
      planner: measurePlanner(this.#policy.createPlanner({ endpointId: id, slots, batchLimit }), this.#result.planning),
      ownership: {
        isOwner: () => true,
        createHandle: (endpointId, adapter, version) => `${formatHandle(adapter, version, index, ++sequence)}`,
        writeUnloadIntent: async () => true,
        mayUnload: () => true,
        recordReport: () => {},
        listRemovable: () => []
      },
      requestPermit: async (_endpointId, slackMs) => await this.#requestPermit(slackMs),
      recordDecision: () => {},
      findSuspectState: () => 'clear',
      shutdownRules,
      receiveCrash: () => {},
      receiveChange: () => this.#clock.setTimer(() => this.#sendSummaries(index % deployment.hosts), changeDelayMs)
    })
    endpoint.start()
    return endpoint
  }

  #createGateway (index: number): Gateway {
    const zone = `az-${index % this.#trace.deployment.zones}`
    return new Gateway({
      clock: this.#clock,
      zone,
      random: this.#random,
      chooseEndpoint: measureChoice(this.#policy.createChoice(this.#trace.deployment), this.#result.choosing),
      sendDispatch: (endpointId, message, receive) => {
        const endpoint = this.#endpoints[Number(endpointId.split('-')[1])]!
        this.#clock.setTimer(() => endpoint.receiveDispatch(message, receive), linkDelayMs)
      }
    })
  }

  #repeatSummaries (host: number, firstMs: number): void {
    this.#clock.setTimer(() => {
      this.#sendSummaries(host)
      this.#repeatSummaries(host, summaryIntervalMs)
    }, firstMs)
  }

  #sendSummaries (host: number): void {
    const { hosts } = this.#trace.deployment
    const summaries = this.#endpoints.filter((_, index) => index % hosts === host).map(endpoint => endpoint.getSummary())
    this.#clock.setTimer(() => {
      for (const gateway of this.#gateways) gateway.receiveSummaries(`host-${host}`, summaries)
    }, linkDelayMs)
  }

  // Loads

  async #requestPermit (slackMs: number): Promise<() => void> {
    const permitId = String(++this.#permits)
    this.#budget.addWaiting({ permitId, neededAtMs: this.#clock.readMonotonic() + slackMs })
    await new Promise<void>(resolve => {
      this.#grants.set(permitId, resolve)
      this.#grantPermits()
    })
    return () => {
      this.#budget.releasePermit(permitId)
      this.#grantPermits()
    }
  }

  #grantPermits (): void {
    const nowMs = this.#clock.readMonotonic()
    for (let load = this.#budget.grantNextPermit(nowMs); load; load = this.#budget.grantNextPermit(nowMs)) {
      this.#grants.get(load.permitId)?.()
      this.#grants.delete(load.permitId)
    }
    const nextMs = this.#budget.findNextPermitMs(nowMs)
    if (nextMs !== undefined) this.#clock.setTimer(() => this.#grantPermits(), nextMs - nowMs + 0.01)
  }
}

interface GatewayOptions {
  clock: VirtualClock
  zone: string
  random: () => number
  chooseEndpoint: ChooseEndpoint
  sendDispatch: (endpointId: string, message: PeerMessage & { type: 'dispatch' }, receive: (message: PeerMessage) => void) => void
}

/** The router of one gateway, with links that keep summaries as the real ones do. */
class Gateway {
  readonly router: RequestRouter
  #views = new Map<string, EndpointView>()

  constructor (options: GatewayOptions) {
    const { clock, zone, random, chooseEndpoint } = options
    this.router = new RequestRouter({
      clock,
      zone,
      random,
      chooseEndpoint,
      retryBudget: new RetryBudget(defaultRetryBudget, 0),
      suspects: new SuspectRegistry(),
      recordDecision: () => {},
      links: {
        listViews: () => [...this.#views.values()],
        recordSent: (_hostId, endpointId, adapterName) => this.#recordSent(endpointId, adapterName),
        send: (hostId, message) => {
          if (message.type !== 'dispatch') return true
          options.sendDispatch(message.endpointId, message, answer => this.router.receiveMessage(hostId, answer))
          return true
        }
      }
    })
  }

  receiveSummaries (hostId: string, summaries: EndpointSummary[]): void {
    for (const summary of summaries) this.#views.set(summary.endpointId, { summary, hostId, sentSince: 0, loadsSentSince: [] })
    this.router.receiveEndpointChange()
  }

  #recordSent (endpointId: string, adapterName: string): void {
    const view = this.#views.get(endpointId)
    if (!view) return
    view.sentSince++
    if (!view.loadsSentSince.includes(adapterName)) view.loadsSentSince.push(adapterName)
  }
}

function createRoutedRequest (record: RequestRecord): RoutedRequest {
  const { request, arrivedAtMs, dueAtMs } = record
  return {
    requestId: request.id,
    callerName: request.callerName,
    adapter: request.adapter,
    version: '1',
    baseModel: 'base',
    className: request.workClass.name,
    target: request.workClass.target,
    arrivedAtMs,
    dueAtMs,
    isRetryable: true,
    fingerprint: request.id,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    path: '/v1/completions',
    body: '{}',
    isStream: true
  }
}

/** Adds the time of each call to a cost. */
function measureCall<T> (cost: DecisionCost, call: () => T): T {
  const startMs = performance.now()
  const result = call()
  cost.push(performance.now() - startMs)
  return result
}

function measureChoice (choose: ChooseEndpoint, cost: DecisionCost): ChooseEndpoint {
  return (request, views, random) => measureCall(cost, () => choose(request, views, random))
}

function measurePlanner (planner: EndpointPlanner, cost: DecisionCost): EndpointPlanner {
  return new Proxy(planner, {
    get: (target, name) => {
      const method = Reflect.get(target, name) as (...values: unknown[]) => unknown
      return name === 'plan' || name === 'addRequest'
        ? (...values: unknown[]) => measureCall(cost, () => method.apply(target, values))
        : method.bind(target)
    }
  })
}
