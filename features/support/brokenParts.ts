/** Parts of the system with one mechanism taken out, to show what fails without it. */
import type { Platform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { OpenaiEngine } from '../../src/adapters/openaiEngine/openaiEngine.js'
import { HttpServiceClient } from '../../src/adapters/httpService/httpServiceClient.js'
import { parseHandle } from '../../src/core/handleFormat.js'
import { shutdownRules } from '../../src/core/shutdownRules.js'
import type { Engine, GenerateEvent, GenerationRequest } from '../../src/ports/engine.js'
import type { ServiceClient } from '../../src/ports/serviceClient.js'
import { createNotRunFailure } from '../../src/schemas/verdict.js'
import type { PlaygroundOptions } from '../../playground/startPlayground.js'

/** Changes the requests of the real adapter to engines and their responses. */
function changeEngine (changeOrder: (order: GenerationRequest) => GenerationRequest, changeEvent: (event: GenerateEvent) => GenerateEvent[]): Engine {
  const engine = new OpenaiEngine()
  return {
    ...bindOrders(engine),
    generate: (address, order, send, mayStart) => engine.generate(address, changeOrder(order), event => changeEvent(event).forEach(send), mayStart)
  }
}

function bindOrders (engine: OpenaiEngine): Omit<Engine, 'generate'> {
  return {
    readReport: engine.readReport.bind(engine),
    loadAdapter: engine.loadAdapter.bind(engine),
    unloadAdapter: engine.unloadAdapter.bind(engine)
  }
}

/** Sends each request to another adapter or version where the engine has one, as if handles did not distinguish them. */
function useOtherHandle (): Engine {
  const engine = new OpenaiEngine()
  const loaded = new Map<string, Set<string>>()
  const listHandles = (address: string): Set<string> => loaded.get(address) ?? new Set()
  return {
    ...bindOrders(engine),
    loadAdapter: async (address, order) => {
      const outcome = await engine.loadAdapter(address, order)
      if (outcome.verdict === 'done') loaded.set(address, listHandles(address).add(order.handle))
      return outcome
    },
    unloadAdapter: async (address, order) => {
      listHandles(address).delete(order.handle)
      return await engine.unloadAdapter(address, order)
    },
    generate: (address, order, send, mayStart) => {
      const handle = [...listHandles(address)].find(other => other !== order.handle) ?? order.handle
      return engine.generate(address, { ...order, handle }, event => {
        // A restart has emptied the engine.
        if (event.type === 'failed') loaded.delete(address)
        send(event)
      }, mayStart)
    }
  }
}

/** Unloads the handle of every tenth request while it runs. */
function unloadBusy (): Engine {
  const engine = new OpenaiEngine()
  let requests = 0
  return {
    ...bindOrders(engine),
    generate: (address, order, send, mayStart) => {
      const parsed = parseHandle(order.handle)
      let isBusy = parsed !== undefined && ++requests % 10 === 0
      return engine.generate(address, order, event => {
        if (isBusy && event.type === 'data') engine.unloadAdapter(address, { ...parsed!, handle: order.handle })
        isBusy = false
        send(event)
      }, mayStart)
    }
  }
}

const resumeFromStart = (order: GenerationRequest): GenerationRequest => order.resumeFrom === undefined ? order : { ...order, resumeFrom: 0 }

const keepOrder = (order: GenerationRequest): GenerationRequest => order

const keepEvent = (event: GenerateEvent): GenerateEvent[] => [event]

/** Takes a broken stream for one that has ended. */
const endBroken = (event: GenerateEvent): GenerateEvent[] => event.type === 'failed' && event.resumeFrom !== undefined && event.resumeFrom > 0
  ? [{ type: 'data', data: 'data: [DONE]\n\n' }, { type: 'end' }]
  : [event]

/** Calls every failed request one that was not run, and that another endpoint would refuse too. */
const callNotRun = (event: GenerateEvent): GenerateEvent[] => event.type === 'failed'
  ? [{ type: 'failed', failure: createNotRunFailure('endpoint_lost', 'the connection was lost', 400), isEndpointLost: false }]
  : [event]

/** Calls every lost connection to a service a call that was not run. */
function callNotRunService (): ServiceClient {
  const service = new HttpServiceClient()
  return {
    call: async (address, call, signal) => {
      const outcome = await service.call(address, call, signal)
      return outcome.type === 'failed' ? { type: 'failed', failure: createNotRunFailure('endpoint_lost', 'the connection was lost', 503) } : outcome
    }
  }
}

function showAllLive (platform: Platform): Platform {
  const { hostList } = platform
  const listEntries: typeof hostList.listEntries = async () => (await hostList.listEntries()).map(entry => ({ ...entry, presence: 'live' as const }))
  return {
    ...platform,
    hostList: { listEntries, announceEntry: hostList.announceEntry.bind(hostList), withdrawEntry: hostList.withdrawEntry.bind(hostList) }
  }
}

/** The options of a system without the mechanism. */
export const brokenParts: Record<string, () => PlaygroundOptions> = {
  'a handle for each version': () => ({ scheduler: { engine: useOtherHandle() } }),
  'waiting until a handle is idle': () => ({ scheduler: { engine: unloadBusy() } }),
  'the offset of a resumed stream': () => ({ scheduler: { engine: changeEngine(resumeFromStart, keepEvent) } }),
  'the last event of a stream': () => ({ scheduler: { engine: changeEngine(keepOrder, endBroken) } }),
  'the verdict of lost connections': () => ({ scheduler: { engine: changeEngine(keepOrder, callNotRun) } }),
  'the verdict of lost calls': () => ({ gateway: { service: callNotRunService() } }),
  'the presence on the list': () => ({ changePlatform: showAllLive }),
  'the wait for answers in progress': () => ({ gateway: { stopCallers: async callers => { callers.stop() } } }),
  'the wait for running attempts': () => ({ scheduler: { shutdownRules: { ...shutdownRules, canHandOver: () => true } } }),
  'the rule that running attempts stay': () => ({ scheduler: { shutdownRules: { ...shutdownRules, canReturnAttempt: () => true } } })
}
