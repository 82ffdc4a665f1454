/** Injects planned faults and changes into a running system and notes when each of them began and ended. */
import { setTimeout as sleep } from 'node:timers/promises'
import { endlessForms } from '../src/standin/fleet/endlessAnswer.js'
import type { EndlessFormName } from '../src/standin/fleet/endlessAnswer.js'
import type { EndpointFaults } from '../src/standin/fleet/endpointFaults.js'
import { createRequestId } from '../src/standin/fleet/fleetCaller.js'
import type { FleetEndpoint } from '../src/standin/fleet/startFleet.js'
import type { StoreFault } from '../src/standin/fleet/storeServer.js'
import { FaultStack } from './faultStack.js'
import type { HostProcess } from './hostProcess.js'
import type { LinkFault } from './loopbackProxy.js'
import { formatPromptParts } from './soakCallers.js'
import type { SoakCallers } from './soakCallers.js'
import { createRandom } from './soakPlan.js'
import type { PlannedEvent } from './soakPlan.js'
import type { SoakRecord } from './soakRecord.js'
import { drawSlowRequest } from './slowCaller.js'
import type { SoakSystem } from './soakSystem.js'
import { holdPort } from './takenPort.js'

export interface SoakEventsOptions {
  system: SoakSystem
  callers: SoakCallers
  record: SoakRecord
}

/** Undefined where an event strikes the store, or whatever its requests meet. */
type Struck = HostProcess | FleetEndpoint | undefined
type Inject = (event: PlannedEvent) => Promise<void>

/** Jumps of the time of day reach an hour in both directions. */
const maxJumpMs = 3_600_000
/** Part of the requests or orders that a fault of an endpoint strikes, from this up to all. */
const minStruckPart = 0.3
/** Hosts that lost power are started again within this time. */
const maxPowerCutMs = 2000
/** Streams that are sent to a host this long before it is stopped. */
const streamsAtStop = 5
const beforeStopMs = 100
/** An endpoint that leaves goes on serving for this long. */
const leaveMs = 3000
/** A request that crashes engines comes this often, so that it would go on crashing them after hosts have to know it. */
const crashingCalls = 16
const crashingGapMs = 500
const crashingBody = 'a question that crashes endpoints'
/** Events from this size on crash engines by a prompt part. */
const minSizeOfPart = 0.5
/** Shorter than the gap, so that the next request may meet the endpoint again. */
const crashDownMs = 300
/** Signals of a series come this often. */
const reloadGapMs = 50
const endlessFormNames = Object.keys(endlessForms) as EndlessFormName[]
/** Signals of a stop that is asked for again come this far apart. */
const minStopGapMs = 20
const maxStopGapMs = 60
/** Callers with long answers that a host has at once, and how long it has them before it is stopped or killed. */
const slowReaders = 8
const beforeSlowEndMs = 900
/** The store is away for this long at most before it comes back from a copy. */
const maxRestoreMs = 2000

export class SoakEvents {
  #options: SoakEventsOptions
  #storeFaults: FaultStack<StoreFault>
  #links = new Map<string, FaultStack<LinkFault>>()
  #endpointFaults = new Map<string, FaultStack<number>>()
  /** Hosts that something has befallen which the next event on them must wait for. */
  #busyHosts = new Set<HostProcess>()
  #injections: Record<PlannedEvent['kind'], Inject>

  constructor (options: SoakEventsOptions) {
    this.#options = options
    this.#storeFaults = new FaultStack<StoreFault>('none', fault => options.system.fleet.store.setFault(fault))
    this.#injections = {
      hostPause: async event => await this.#injectHostFault(event, async host => {
        host.pause()
        await sleep(event.forMs)
        host.resume()
      }),
      hostKill: async event => await this.#injectHostFault(event, async host => await this.#restart(host, 'kill', event.forMs)),
      hostStop: async event => {
        await this.#openStreams(this.#pickHost(event))
        await this.#injectHostFault(event, async host => await this.#restart(host, 'stop', event.forMs))
      },
      hostStopSeries: async event => {
        await this.#openStreams(this.#pickHost(event))
        await this.#injectHostFault(event, async host => await this.#stopAgain(event, host))
      },
      portTaken: async event => await this.#injectHostFault(event, async host => await this.#startWithoutPort(event, host)),
      slowReaders: async event => await this.#meetSlowReaders(event),
      hostReloads: async event => await this.#reloadHost(event),
      clockJump: async event => await this.#injectHostFault(event, async host => {
        const jumpMs = Math.round((event.size * 2 - 1) * maxJumpMs)
        host.advanceClock(jumpMs)
        await sleep(event.forMs)
        host.advanceClock(-jumpMs)
      }),
      allHostsKilled: async event => await this.#injectPowerCut(event),
      allEndpointsFail: async event => await this.#failEndpoints(event),
      ...this.#createLinkInjections(),
      ...this.#createEndpointInjections(),
      ...this.#createStoreInjections(),
      ...this.#createChanges()
    }
  }

  /** Resolves when the event is over. */
  async inject (event: PlannedEvent): Promise<void> {
    await this.#injections[event.kind](event)
  }

  #createLinkInjections (): Record<Extract<PlannedEvent['kind'], `storeLink${string}` | `endpointLink${string}`>, Inject> {
    const injectStoreLinkFault = (fault: LinkFault): Inject => async event => {
      const { hosts, storeLinks } = this.#options.system
      const index = event.target % hosts.length
      await this.#hold(event, hosts[index], this.#findLink(`store ${index}`, storeLinks[index]!), fault)
    }
    const injectEndpointLinkFault = (fault: LinkFault): Inject => async event => {
      const { endpointLinks } = this.#options.system
      const endpoint = this.#pickEndpoint(event)
      await this.#hold(event, endpoint, this.#findLink(endpoint.id, endpointLinks.get(endpoint.id)!), fault)
    }
    return {
      storeLinkDelayed: injectStoreLinkFault('delayed'),
      storeLinkSilent: injectStoreLinkFault('silent'),
      storeLinkCutUp: injectStoreLinkFault('cutUp'),
      storeLinkCutDown: injectStoreLinkFault('cutDown'),
      storeLinkReset: injectStoreLinkFault('reset'),
      endpointLinkDelayed: injectEndpointLinkFault('delayed'),
      endpointLinkSilent: injectEndpointLinkFault('silent'),
      endpointLinkCutUp: injectEndpointLinkFault('cutUp'),
      endpointLinkCutDown: injectEndpointLinkFault('cutDown'),
      endpointLinkReset: injectEndpointLinkFault('reset')
    }
  }

  #createEndpointInjections (): Record<'engineCrash' | 'endpointDark' | 'endpointErrors' | 'endpointCuts' | 'lateOrders' | 'endpointLeaves' | 'endpointSaysLeaving' | 'endpointWantsNothing' | 'endpointEndless', Inject> {
    const injectPartialFault = (field: 'errors' | 'cuts' | 'lateOrders'): Inject => async event => {
      const endpoint = this.#pickEndpoint(event)
      const part = minStruckPart + event.size * (1 - minStruckPart)
      await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, field, value => ({ [field]: value })), part)
    }
    return {
      engineCrash: async event => {
        const { engines } = this.#options.system.fleet
        const engine = engines[event.target % engines.length]!
        engine.server.crash()
        this.#recordSpan(event, engine, performance.now())
      },
      endpointDark: async event => {
        const endpoint = this.#pickEndpoint(event)
        await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, 'isDark', value => ({ isDark: value > 0 })), 1)
      },
      endpointSaysLeaving: async event => {
        const endpoint = this.#pickEndpoint(event)
        await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, 'isLeaving', value => ({ isLeaving: value > 0 })), 1)
      },
      endpointWantsNothing: async event => {
        const endpoint = this.#pickEndpoint(event)
        await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, 'retryAfter', value => ({ retryAfter: value > 0 ? String(value) : '' })), event.size)
      },
      endpointEndless: async event => {
        const endless = endlessFormNames[Math.floor(event.size * endlessFormNames.length)]!
        const endpoint = this.#pickEndpoint(event)
        await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, 'endless', value => ({ endless: value > 0 ? endless : '' })), 1)
      },
      endpointErrors: injectPartialFault('errors'),
      endpointCuts: injectPartialFault('cuts'),
      lateOrders: injectPartialFault('lateOrders'),
      endpointLeaves: async event => await this.#replaceEndpoint(event)
    }
  }

  #createStoreInjections (): Record<'storeBusy' | 'storeSilent' | 'storeReset' | 'storeAnswersLost' | 'storeUnwritable' | 'storeRestored', Inject> {
    const injectStoreFault = (fault: StoreFault): Inject => async event => await this.#hold(event, undefined, this.#storeFaults, fault)
    return {
      storeBusy: injectStoreFault('busy'),
      storeSilent: injectStoreFault('silent'),
      storeReset: injectStoreFault('reset'),
      storeAnswersLost: injectStoreFault('lost'),
      storeUnwritable: injectStoreFault('unwritable'),
      storeRestored: async event => await this.#restoreStore(event)
    }
  }

  #createChanges (): Record<'newConfiguration' | 'newVersion' | 'crashingRequest' | 'burst', Inject> {
    const { system, callers, record } = this.#options
    return {
      newConfiguration: async () => { record.configurations.push({ version: system.writeConfiguration(), atMs: performance.now() }) },
      newVersion: async () => {
        const adapter = callers.pickAdapter()
        const version = 2 + record.versions.filter(known => known.adapter === adapter).length
        system.fleet.declareVersion(adapter, version)
        record.versions.push({ adapter, version, atMs: performance.now() })
      },
      crashingRequest: async event => await this.#sendCrashingRequests(event),
      burst: async () => callers.startBurst()
    }
  }

  /** Sends requests that crash endpoints by their whole content or, where they are streams, by a prompt part that they share. */
  async #sendCrashingRequests (event: PlannedEvent): Promise<void> {
    const { callers } = this.#options
    const fromMs = performance.now()
    const kind = event.target % 2 === 0 ? 'resumable' : 'once'
    const part = `bad${Math.floor(event.size * 0x10000).toString(16)}`
    const isByPart = kind === 'resumable' && event.size >= minSizeOfPart
    this.#setCrashFaults(isByPart ? { crashParts: [part] } : { crashBody: crashingBody }, crashDownMs)
    const calls: Promise<unknown>[] = []
    for (let index = 0; index < crashingCalls; index++) {
      const hosts = callers.readyHosts
      const changes = isByPart ? { kind, promptParts: formatPromptParts(part, createRequestId()) } as const : { kind, body: crashingBody } as const
      if (hosts.length > 0) calls.push(callers.call(hosts[index % hosts.length]!, 'crashing', changes))
      await sleep(crashingGapMs)
    }
    await Promise.all(calls)
    this.#setCrashFaults({}, 0)
    this.#recordSpan(event, undefined, fromMs)
  }

  #setCrashFaults (faults: Partial<Pick<EndpointFaults, 'crashBody' | 'crashParts'>>, downMs: number): void {
    for (const { server } of this.#options.system.fleet.endpoints) server.setFaults({ crashBody: '', crashParts: [], ...faults, downMs })
  }

  /** Restores the store from a copy that was made at the event's beginning; all that hosts wrote since is lost. */
  async #restoreStore (event: PlannedEvent): Promise<void> {
    const { fleet } = this.#options.system
    const copy = fleet.rows.takeCopy()
    await sleep(event.forMs)
    const end = this.#beginSpan(event, undefined, performance.now())
    const release = this.#storeFaults.add('reset')
    await sleep(event.size * maxRestoreMs)
    fleet.restoreStore(copy)
    release()
    end()
  }

  async #replaceEndpoint (event: PlannedEvent): Promise<void> {
    const { fleet } = this.#options.system
    const endpoint = this.#pickEndpoint(event)
    if (endpoint.isLeaving) return
    await fleet.addEndpoint(endpoint.service)
    fleet.drain(endpoint)
    this.#options.record.leaving.push({ endpointId: endpoint.id, atMs: performance.now() })
    await sleep(leaveMs)
    const fromMs = performance.now()
    await fleet.removeEndpoint(endpoint)
    this.#recordSpan(event, endpoint, fromMs)
  }

  /** Sends a host signals, whether it starts, stops or runs. */
  async #reloadHost (event: PlannedEvent): Promise<void> {
    const host = this.#pickHost(event)
    const end = this.#beginSpan(event, host, performance.now())
    for (let sentMs = 0; sentMs < event.forMs; sentMs += reloadGapMs) {
      host.reload()
      await sleep(reloadGapMs)
    }
    end()
  }

  /** Stops a host by SIGTERM, SIGHUP and SIGTERM, and starts it at once, so that the next event may strike while it starts. */
  async #stopAgain ({ size }: PlannedEvent, host: HostProcess): Promise<void> {
    const gapMs = minStopGapMs + size * (maxStopGapMs - minStopGapMs)
    const ended = host.end('stop')
    await sleep(gapMs)
    host.reload()
    await sleep(gapMs)
    await Promise.all([ended, host.end('stop')])
    await host.start()
  }

  /** Kills a host and starts it while one of its ports is in use. */
  async #startWithoutPort ({ forMs, size }: PlannedEvent, host: HostProcess): Promise<void> {
    await host.end('kill')
    const free = await holdPort(host.settings, size)
    await host.start()
    await sleep(forMs)
    free()
  }

  async #injectHostFault (event: PlannedEvent, run: (host: HostProcess) => Promise<void>): Promise<void> {
    const host = this.#pickHost(event)
    if (this.#busyHosts.has(host) || !host.isRunning) return
    this.#busyHosts.add(host)
    const fromMs = performance.now()
    const end = this.#beginSpan(event, host, fromMs)
    await run(host)
    end()
    this.#busyHosts.delete(host)
  }

  async #injectPowerCut (event: PlannedEvent): Promise<void> {
    const hosts = this.#options.system.hosts.filter(host => !this.#busyHosts.has(host))
    await Promise.all(hosts.map(async host => {
      this.#busyHosts.add(host)
      const end = this.#beginSpan(event, host, performance.now())
      await this.#restart(host, 'kill', Math.min(event.forMs, maxPowerCutMs))
      end()
      this.#busyHosts.delete(host)
    }))
  }

  /** Begins streams that a stop of the host meets in the middle; the shortest ones take 150 ms. */
  async #openStreams (host: HostProcess): Promise<void> {
    const { callers } = this.#options
    for (let index = 0; index < streamsAtStop; index++) callers.call(host, 'load', { kind: 'stream' })
    await sleep(beforeStopMs)
  }

  /** Lets several callers ask one host for long answers; the host stays, is stopped or is killed meanwhile. */
  async #meetSlowReaders (event: PlannedEvent): Promise<void> {
    const random = createRandom(event.target + Math.floor(event.size * 0x100000))
    const host = this.#pickHost(event)
    const kind = [undefined, 'hostStop', 'hostKill'][Math.floor(random() * 3)] as 'hostStop' | 'hostKill' | undefined
    for (let index = 0; index < slowReaders; index++) this.#options.callers.callSlowly(host, drawSlowRequest(random))
    await sleep(beforeSlowEndMs)
    if (kind) await this.#injections[kind]({ ...event, kind })
  }

  async #failEndpoints (event: PlannedEvent): Promise<void> {
    const endpoints = this.#options.system.fleet.endpoints.filter(endpoint => endpoint.isTelling)
    await Promise.all(endpoints.map(async endpoint => {
      await this.#hold(event, endpoint, this.#findEndpointFault(endpoint, 'errors', value => ({ errors: value })), 1)
    }))
  }

  async #restart (host: HostProcess, asked: 'kill' | 'stop', awayMs: number): Promise<void> {
    await host.end(asked)
    await sleep(awayMs)
    await host.start()
  }

  async #hold<Fault> (event: PlannedEvent, struck: Struck, stack: FaultStack<Fault>, fault: Fault): Promise<void> {
    const end = this.#beginSpan(event, struck, performance.now())
    const release = stack.add(fault)
    await sleep(event.forMs)
    release()
    end()
  }

  #pickHost ({ target }: PlannedEvent): HostProcess {
    const { hosts } = this.#options.system
    return hosts[target % hosts.length]!
  }

  #pickEndpoint ({ target }: PlannedEvent): FleetEndpoint {
    const endpoints = this.#options.system.fleet.endpoints.filter(endpoint => endpoint.isTelling)
    return endpoints[target % endpoints.length]!
  }

  #findLink (key: string, link: { setFault: (fault: LinkFault) => void }): FaultStack<LinkFault> {
    return findOrCreate(this.#links, key, () => new FaultStack<LinkFault>('none', fault => link.setFault(fault)))
  }

  #findEndpointFault ({ id, server }: FleetEndpoint, field: string, createFaults: (value: number) => Partial<EndpointFaults>): FaultStack<number> {
    return findOrCreate(this.#endpointFaults, `${id} ${field}`, () => new FaultStack(0, value => server.setFaults(createFaults(value))))
  }

  /** Notes a span that lasts until the function that it returns is called. */
  #beginSpan ({ kind }: PlannedEvent, struck: Struck, fromMs: number): () => void {
    const place = struck && 'server' in struck ? { host: undefined, endpointId: struck.id } : { host: struck?.settings.hostName }
    const span = { kind, ...place, fromMs, toMs: Infinity }
    this.#options.record.spans.push(span)
    return () => { span.toMs = performance.now() }
  }

  #recordSpan (event: PlannedEvent, struck: Struck, fromMs: number): void {
    this.#beginSpan(event, struck, fromMs)()
  }
}

function findOrCreate<Value> (map: Map<string, Value>, key: string, create: () => Value): Value {
  const known = map.get(key)
  if (known !== undefined) return known
  const created = create()
  map.set(key, created)
  return created
}
