/** Starts a stand-in of the users' platform: its store, model engines and a plain service, each on a loopback address. */
import type { RoutingConfiguration } from '../../schemas/routing.js'
import { encodeConfigurationRow, encodeEndpointRow, encodeAdapterVersionRow } from '../../platform/standinWire.js'
import { endpointsTable, operatorsTable } from '../../platform/wireNames.js'
import { createEvenDraws } from './createEvenDraws.js'
import { startEndpointServer } from './endpointServer.js'
import type { EndpointServer } from './endpointServer.js'
import { FleetEngine } from './fleetEngine.js'
import { RowStore } from './rowStore.js'
import type { RowStoreCopy } from './rowStore.js'
import { RunJournal } from './runJournal.js'
import { startStoreServer } from './storeServer.js'
import type { StoreServer } from './storeServer.js'

export interface FleetOptions {
  engines: number
  services: number
  /** Requests that an endpoint of the plain service runs at once. */
  servicePlaces: number
  adapterSlots: number
  zones: readonly string[]
  heartbeatMs: number
  /** Whether entries tell when their endpoint's process started. */
  tellsStart: boolean
  /** Client accounts of the first configuration; undefined for none. */
  accounts: RoutingConfiguration['accounts']
  /** Draws that decide where an answer is cut; even ones where left out. */
  random: () => number
  /** Creates the draws that decide which requests a fault strikes, for each endpoint and fault. */
  createDraws: () => () => number
  /** Returns the address under which hosts reach an endpoint at `ip:port`. */
  openRoute: (id: string, address: string) => Promise<string>
}

export interface FleetEndpoint {
  readonly id: string
  readonly service: string
  readonly zone: string
  /** Under which hosts reach it. */
  readonly address: string
  readonly engine: FleetEngine | undefined
  readonly server: EndpointServer
  isLeaving: boolean
  /** Empty for an entry without one. */
  softwareVersion: string
  /** Whether it tells of itself in the store. */
  isTelling: boolean
}

export const fleetModel = 'base'
export const engineService = 'llm'
export const plainService = 'desk'
export const fleetHost = 'fleet.example'
/** Paths of the routes by what they do. */
export const fleetPaths = Object.freeze({ stream: '/stream/', once: '/once/', resumable: '/resumable/', idempotent: '/safe/' })

export const defaultFleetOptions: Omit<FleetOptions, 'random'> = Object.freeze({
  engines: 3, services: 2, servicePlaces: 6, adapterSlots: 4, zones: ['a', 'b'], heartbeatMs: 300, tellsStart: true, accounts: undefined, createDraws: createEvenDraws, openRoute: async (_id: string, address: string) => address
})

/** Entries that were not written for this long are removed, in heartbeats. */
const lapseHeartbeats = 3

/**
 * Starts the stand-in; the first configuration is written before it resolves.
 *
 * @example
 * const fleet = await startFleet({ engines: 2 })
 * fleet.store.address // '127.0.0.1:41873'
 */
export async function startFleet (changes: Partial<FleetOptions> = {}): Promise<Fleet> {
  const options: FleetOptions = { ...defaultFleetOptions, random: createEvenDraws(), ...changes }
  const rows = new RowStore()
  const store = await startStoreServer(rows, '127.0.0.1:0')
  const fleet = new Fleet(options, rows, store)
  await fleet.start()
  return fleet
}

export class Fleet {
  readonly rows: RowStore
  readonly store: StoreServer
  readonly journal = new RunJournal()
  readonly endpoints: FleetEndpoint[] = []
  /** Software version of each endpoint that ever was, by its id. */
  readonly softwareVersions = new Map<string, string>()
  /** Client accounts of the next configuration; undefined for none. */
  accounts: RoutingConfiguration['accounts']
  #options: FleetOptions
  #heartbeat: NodeJS.Timeout | undefined
  #nextId = 1
  #version = 1

  constructor (options: FleetOptions, rows: RowStore, store: StoreServer) {
    this.#options = options
    this.accounts = options.accounts
    this.rows = rows
    this.store = store
  }

  /** Routes of the first configuration. */
  get defaultRoutes (): RoutingConfiguration['routes'] {
    return createConfiguration(0, this.#options.adapterSlots).routes
  }

  get engines (): FleetEndpoint[] {
    return this.endpoints.filter(endpoint => endpoint.engine)
  }

  async start (): Promise<void> {
    this.writeConfiguration({})
    for (let index = 0; index < this.#options.engines; index++) await this.addEndpoint(engineService)
    for (let index = 0; index < this.#options.services; index++) await this.addEndpoint(plainService)
    this.#heartbeat = setInterval(() => this.#tellAll(), this.#options.heartbeatMs)
  }

  /** Writes the next version of the configuration. */
  writeConfiguration (changes: Partial<Pick<RoutingConfiguration, 'routes' | 'accounts' | 'limits'>>): number {
    const configuration = createConfiguration(this.#version++, this.#options.adapterSlots)
    this.rows.write(encodeConfigurationRow({ ...configuration, accounts: this.accounts, ...changes }))
    return configuration.version
  }

  declareVersion (adapter: string, version: number): void {
    this.rows.write(encodeAdapterVersionRow({ model: fleetModel, adapter, version }))
  }

  /** `modelLoadMs`: an engine that starts without its model loads it in this time; `softwareVersion`: empty for an entry without one. */
  async addEndpoint (service: string, modelLoadMs = 0, softwareVersion = 'v1'): Promise<FleetEndpoint> {
    const { adapterSlots, servicePlaces, zones, random, createDraws, openRoute } = this.#options
    const id = `i-${this.#nextId++}`
    const engine = service === engineService
      ? new FleetEngine({ id, model: fleetModel, adapterSlots, batchLimit: 16, coldLoadMs: 120, warmLoadMs: 12, reportLagMs: 100, eventMs: 15, modelLoadMs }, () => performance.now())
      : undefined
    const server = await startEndpointServer({ id, service, listenAddress: '127.0.0.1:0', journal: this.journal, random, createDraws, engine, places: servicePlaces, workMs: 20 })
    const endpoint: FleetEndpoint = { id, service, zone: zones[this.endpoints.length % zones.length]!, address: await openRoute(id, server.address), engine, server, isLeaving: false, softwareVersion, isTelling: true }
    this.endpoints.push(endpoint)
    this.softwareVersions.set(id, softwareVersion)
    this.#tell(endpoint)
    return endpoint
  }

  /** The endpoint says that it leaves, and goes on serving until it is stopped. */
  drain (endpoint: FleetEndpoint): void {
    endpoint.isLeaving = true
    this.#tell(endpoint)
  }

  /** Removes an endpoint's entry, as of one that leaves without a word; it goes on serving. */
  forgetEntry (endpoint: FleetEndpoint): void {
    endpoint.isTelling = false
    this.rows.transact({ checks: [], writes: [], removals: [{ table: endpointsTable, key: endpoint.id }] })
  }

  /** Takes an endpoint away; its entry lapses. */
  async removeEndpoint (endpoint: FleetEndpoint): Promise<void> {
    endpoint.isTelling = false
    await endpoint.server.stop()
    this.#lapse(endpoint.id)
  }

  #lapse (key: string): void {
    setTimeout(() => this.rows.transact({ checks: [], writes: [], removals: [{ table: endpointsTable, key }] }), lapseHeartbeats * this.#options.heartbeatMs).unref()
  }

  /** Restores the store from a copy; operators and endpoints write again what it lost of theirs, and entries of endpoints that are gone lapse. */
  restoreStore (copy: RowStoreCopy): void {
    const lost = this.rows.restore(copy)
    for (const { table, key, value } of lost) if (value && (table === operatorsTable || table === endpointsTable)) this.rows.write({ table, key, value })
    const telling = new Set(this.endpoints.filter(({ isTelling }) => isTelling).map(({ id }) => id))
    for (const { key } of this.rows.listRows(endpointsTable)) if (!telling.has(key)) this.#lapse(key)
  }

  /** What endpoints saw that no system may do. */
  listViolations (): string[] {
    return this.engines.flatMap(({ id, engine }) => engine!.violations.map(({ rule, detail }) => `${id}: ${rule}: ${detail}`))
  }

  async stop (): Promise<void> {
    clearInterval(this.#heartbeat)
    await Promise.all([this.store.stop(), ...this.endpoints.map(async endpoint => await endpoint.server.stop())])
  }

  #tellAll (): void {
    for (const endpoint of this.endpoints) if (endpoint.isTelling && !endpoint.server.isDown) this.#tell(endpoint)
  }

  #tell ({ id, service, zone, address, engine, server, isLeaving, softwareVersion }: FleetEndpoint): void {
    this.rows.write(encodeEndpointRow({
      id,
      service,
      address,
      zone,
      isLeaving,
      goneInMs: undefined,
      softwareVersion,
      places: engine?.options.batchLimit ?? this.#options.servicePlaces,
      startedAtMs: this.#options.tellsStart ? server.startedAtMs : 0,
      models: engine?.describeModels() ?? [],
      orderCount: engine?.orderCount ?? 0
    }))
  }
}

export function createConfiguration (version: number, adapterSlots: number): RoutingConfiguration {
  const base = { hostname: fleetHost, timeoutMs: 4000, targetMs: 500, maxGapMs: 400, patienceMs: 3200, rank: 0, isPublic: false, maxAttempts: 2 }
  const toEngines = [{ service: engineService, weight: 1 }]
  const toServices = [{ service: plainService, weight: 1 }]
  return {
    version,
    routes: [
      { ...base, name: 'stream', prefix: fleetPaths.stream, kind: 'stream', isResumable: false, targets: toEngines, maxAttempts: 1 },
      { ...base, name: 'resumable', prefix: fleetPaths.resumable, kind: 'stream', isResumable: true, targets: toEngines },
      { ...base, name: 'once', prefix: fleetPaths.once, kind: 'once', isResumable: false, targets: toServices, maxAttempts: 1 },
      { ...base, name: 'safe', prefix: fleetPaths.idempotent, kind: 'idempotent', isResumable: false, targets: toServices }
    ],
    services: new Map([
      [engineService, {
        name: engineService,
        maxConnections: 300,
        engine: {
          batchLimit: 16, cacheTokens: 100_000, adapterSlots, weightsMb: 1000, loadsPerSecond: 4, tokensPerEvent: 5, models: [{ name: fleetModel, weightsMb: 900, adapterMb: 10, loadMs: 500 }]
        }
      }],
      [plainService, { name: plainService, maxConnections: 100, engine: undefined }]
    ]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }
  }
}
