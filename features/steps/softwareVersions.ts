/** Steps for streams at engines of several software versions, and for callers that take them up again. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { StoreEra } from '../../src/core/storeEra.js'
import { computeStreamKey } from '../../src/core/streamKey.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { encodeConfigurationRow, encodeEndpointRow, encodeResumptionHeaders } from '../../src/platform/standinWire.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import { encodeHostsRow, formatHostKey, formatServiceVersionsKey, hostsTable } from '../../src/schemas/hostRows.js'
import type { EndpointEntry } from '../../src/schemas/routing.js'
import type { StreamRecord } from '../../src/schemas/streamRows.js'
import { createRequestId, listEventIds, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import { createConfiguration, engineService } from '../../src/standin/fleet/startFleet.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { ServiceVersionTask } from '../../src/tasks/streams/serviceVersionTask.js'
import { StreamOrigins } from '../../src/tasks/streams/streamOrigins.js'
import { setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { listStreamVersions, ResumingCaller } from '../support/resumingCaller.js'
import type { TakenUpStream } from '../support/resumingCaller.js'
import { waitUntil } from '../support/waitUntil.js'

interface OriginsWorld {
  origins: StreamOrigins
  clusterView: ClusterView
  saved: StreamRecord[]
  running: CallerRequest[]
}

interface VersionTaskWorld {
  versionClock: VirtualClock
  eras: StoreEra
  versionTask: ServiceVersionTask
  clusterView: ClusterView
  writtenAtMs: number[]
}

interface StreamsWorld extends HostsWorld {
  caller: ResumingCaller
  /** The answer to the last take-up. */
  takeUp: FleetAnswer
}

/** Enough that each engine serves some. */
const adapterCount = 12
/** Streams last for this long at least, so that callers lose them half-way. */
const eventMs = 25

function pickAdapter (index: number): string {
  return `a${index % adapterCount + 1}`
}

function findCaller (world: StreamsWorld): ResumingCaller {
  world.caller ??= new ResumingCaller(world)
  setFaults(world, endpoint => endpoint.engine !== undefined, { eventMs })
  return world.caller
}

When(/^(\d+|an) engines? of software version "([^"]*)" joins?$/, async function (this: StreamsWorld, count: string, version: string) {
  const { fleet } = this.hostFleet
  const joined: FleetEndpoint[] = []
  for (let index = 0; index < (count === 'an' ? 1 : Number(count)); index++) joined.push(await fleet.addEndpoint(engineService, 0, version))
  const isOwned = (id: string): boolean => this.hostFleet.listLines('engine.state').some(line => line.fields.endpointId === id)
  await waitUntil(() => joined.every(({ id }) => isOwned(id)))
})

/** Time in which hosts hear that an engine leaves. */
const leaveMs = 700

async function removeEngines ({ hostFleet: { fleet } }: StreamsWorld, leaving: readonly FleetEndpoint[]): Promise<void> {
  for (const engine of leaving) fleet.drain(engine)
  await sleep(leaveMs)
  for (const engine of leaving) await fleet.removeEndpoint(engine)
}

When('the engines of software version {string} leave', async function (this: StreamsWorld, version: string) {
  await removeEngines(this, this.hostFleet.fleet.engines.filter(engine => engine.softwareVersion === version))
})

When('one engine of each software version leaves', async function (this: StreamsWorld) {
  const { engines } = this.hostFleet.fleet
  const versions = [...new Set(engines.map(({ softwareVersion }) => softwareVersion))]
  await removeEngines(this, versions.map(version => engines.find(({ softwareVersion }) => softwareVersion === version)!))
})

When('engine {int} restarts as software version {string}', function (this: StreamsWorld, number: number, version: string) {
  const { fleet } = this.hostFleet
  const engine = fleet.engines[number - 1]!
  engine.softwareVersion = version
  engine.server.crash()
  // The runs of the former process count for the former version.
  fleet.softwareVersions.set(engine.id, version)
  for (const run of fleet.journal.runs) if (run.endpointId === engine.id) run.endpointId = `${engine.id} before`
  fleet.softwareVersions.set(`${engine.id} before`, 'v1')
})

When('half of all streams break off', function (this: StreamsWorld) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { cuts: 0.5 })
})

When('callers run {int} streams within {int} ms', { timeout: 30_000 }, async function (this: StreamsWorld, count: number, withinMs: number) {
  const caller = findCaller(this)
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await caller.run(pickAdapter(index))
  }))
})

When('callers lose {int} streams within {int} ms, each after {int} ms', { timeout: 30_000 }, async function (this: StreamsWorld, count: number, withinMs: number, ms: number) {
  const caller = findCaller(this)
  // Adapters are loaded before, so that streams begin at once.
  await Promise.all(Array.from({ length: adapterCount * 2 }, async (_, index) => await this.hostFleet.call({ kind: 'resumable', host: index % this.hostFleet.hosts.length + 1, adapter: pickAdapter(index) })))
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await caller.begin(pickAdapter(index), ms)
  }))
})

When('a caller loses a stream after {int} ms', async function (this: StreamsWorld, ms: number) {
  const caller = findCaller(this)
  for (let index = 0; index < 8; index++) await this.hostFleet.call({ kind: 'resumable', host: 1, adapter: pickAdapter(0) })
  while (!listLost(this).length) await caller.begin(pickAdapter(0), ms)
})

When('a caller takes up a stream that it lost after {int} ms', async function (this: StreamsWorld, ms: number) {
  const caller = findCaller(this)
  for (let index = 0; index < 8; index++) await this.hostFleet.call({ kind: 'resumable', host: 1, adapter: pickAdapter(0) })
  while (!listLost(this).length) await caller.begin(pickAdapter(0), ms)
  await caller.takeUp(listLost(this)[0]!, pickAdapter(0))
})

/** Streams that brought events and broke off. */
function listLost ({ caller }: StreamsWorld): TakenUpStream[] {
  return caller.streams.filter(({ attempts, lastEventId }) => lastEventId > 0 && !looksWhole(attempts.at(-1)!))
}

When('all hosts are replaced', { timeout: 30_000 }, async function (this: StreamsWorld) {
  const { hosts } = this.hostFleet
  await Promise.all(hosts.map(async host => await this.hostFleet.stopHost(host)))
  this.hostFleet.lines.length = 0
  await Promise.all(hosts.map(async host => await this.hostFleet.startHost(host)))
  await sleep(2000)
})

When('all hosts are replaced as {int} engines of software version {string} join', { timeout: 30_000 }, async function (this: StreamsWorld, count: number, version: string) {
  const { hosts, fleet } = this.hostFleet
  await Promise.all(hosts.map(async host => await this.hostFleet.stopHost(host)))
  this.hostFleet.lines.length = 0
  for (let index = 0; index < count; index++) await fleet.addEndpoint(engineService, 0, version)
  await Promise.all(hosts.map(async host => await this.hostFleet.startHost(host)))
  await this.hostFleet.waitForOwners()
})

When('they take them up at other hosts', { timeout: 60_000 }, async function (this: StreamsWorld) {
  await Promise.all(this.caller.streams.map(async (stream, index) => {
    if (stream.lastEventId === 0) return
    await sleep(index * 20)
    await this.caller.takeUp(stream, pickAdapter(index))
  }))
})

When('it is taken up by {}', { timeout: 10_000 }, async function (this: StreamsWorld, who: string) {
  const stream = listLost(this)[0]!
  const { firstId = '', lastEventId } = stream
  const send = async (requestId: string, headers: Record<string, string>, kind: 'resumable' | 'stream' = 'resumable'): Promise<FleetAnswer> => {
    return await this.hostFleet.call({ kind, host: 3, adapter: pickAdapter(0), requestId, headers })
  }
  const ownId = createRequestId()
  if (who === 'its caller while the store is silent') this.hostFleet.fleet.store.setFault('silent' satisfies StoreFault)
  if (who === 'a caller that names a request never sent') this.takeUp = await send(ownId, encodeResumptionHeaders(createRequestId(), lastEventId))
  else if (who === 'a caller that names its own request') this.takeUp = await send(ownId, encodeResumptionHeaders(ownId, lastEventId))
  else if (who === 'a caller that names none') this.takeUp = await send(ownId, { 'Last-Event-Id': String(lastEventId) })
  else if (who === 'another caller') this.takeUp = await send(ownId, { ...encodeResumptionHeaders(firstId, lastEventId), Authorization: 'Bearer another' })
  else if (who === 'a caller of another path') this.takeUp = await send(ownId, encodeResumptionHeaders(firstId, lastEventId), 'stream')
  else if (who === 'its caller while the store is silent') this.takeUp = await send(ownId, encodeResumptionHeaders(firstId, lastEventId))
  else assert.fail(`unknown caller "${who}"`)
})

Then('it is refused within {int} ms and does not run', function (this: StreamsWorld, ms: number) {
  assert.equal(this.takeUp.status, 503)
  assert.ok(this.takeUp.tookMs < ms, `${Math.round(this.takeUp.tookMs)} ms`)
  assert.deepEqual(this.hostFleet.fleet.journal.listRuns(this.takeUp.requestId), [])
})

Then('no stream holds events of two versions', function (this: StreamsWorld) {
  const joined = this.caller.streams.map(stream => [...new Set(listStreamVersions(this, stream))]).filter(versions => versions.length > 1)
  assert.deepEqual(joined.map(versions => versions.join(' and ')), [], `of ${this.caller.streams.length} streams`)
})

Then('at least {int} streams hold events of several runs', function (this: StreamsWorld, least: number) {
  const several = this.caller.streams.filter(stream => listStreamVersions(this, stream).length > 1)
  assert.ok(several.length >= least, `${several.length} streams`)
})

Then('at least {int} streams began at version {string}', function (this: StreamsWorld, least: number, version: string) {
  const begun = this.caller.streams.filter(stream => listStreamVersions(this, stream)[0] === version)
  assert.ok(begun.length >= least, `${begun.length} of ${this.caller.streams.length} streams`)
})

/** Streams that their callers took up, and whether a take-up was answered to the end. */
function listTakenUp ({ caller }: StreamsWorld): { stream: TakenUpStream, isContinued: boolean }[] {
  return caller.streams.filter(({ attempts, lastEventId }) => lastEventId > 0 && attempts.length > 1).map(stream => ({ stream, isContinued: looksWhole(stream.attempts.at(-1)!) }))
}

Then('at least {int}% of the streams that were taken up go on', function (this: StreamsWorld, percent: number) {
  const takenUp = listTakenUp(this)
  const continued = takenUp.filter(({ isContinued }) => isContinued)
  assert.ok(takenUp.length >= 10, `${takenUp.length} streams were taken up`)
  assert.ok(continued.length >= takenUp.length * percent / 100, `${continued.length} of ${takenUp.length}`)
})

Then('each take-up that does not go on is refused within {int} ms', function (this: StreamsWorld, ms: number) {
  const refused = listTakenUp(this).filter(({ isContinued }) => !isContinued).flatMap(({ stream }) => stream.attempts.slice(1))
  assert.ok(refused.length > 0)
  assert.deepEqual(refused.filter(({ status, tookMs }) => status !== 503 || tookMs > ms).map(({ status, tookMs }) => `${status} after ${Math.round(tookMs)} ms`), [])
})

Then('the table of streams is empty', function (this: StreamsWorld) {
  assert.deepEqual(this.hostFleet.fleet.rows.listRows('sedgevalve-streams').map(({ key }) => key), [])
})

Then('the lines name software version {string} of an engine that joined', function (this: StreamsWorld, version: string) {
  assert.ok(this.hostFleet.listLines('endpoint.changed').some(({ fields }) => fields.softwareVersion === version))
})

Then('the line of the last request names the request that it resumes, its last event and a version for each engine tried', function (this: StreamsWorld) {
  const { attempts, firstId } = this.caller.streams.find(stream => stream.attempts.length > 1)!
  const { requestId } = attempts.at(-1)!
  const line = this.hostFleet.lines.find(({ kind, fields }) => kind.startsWith('request.') && fields.requestId === requestId)
  assert.equal(line?.fields.resumedRequestId, firstId)
  assert.equal(line?.fields.lastEventId, listEventIds(attempts[0]!).at(-1))
  assert.deepEqual((line?.fields.versions as string[]).length, (line?.fields.tried as string[]).length)
})

function createEngine (id: string, softwareVersion: string): EndpointEntry {
  return { id, service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 16, softwareVersion, startedAtMs: 1, models: [], orderCount: 0 }
}

Given('a host that has relayed {int} streams to their end, and {int} that still run', function (this: OriginsWorld, endedCount: number, runningCount: number) {
  const clock = createSystemClock()
  this.saved = []
  this.clusterView = new ClusterView(decodePlatformRow)
  this.clusterView.applyRow({ ...encodeConfigurationRow(createConfiguration(1, 4)), version: 1 }, clock.readMonotonic())
  this.origins = new StreamOrigins({
    clock,
    log: { record: () => {} },
    clusterView: this.clusterView,
    store: { readRow: async () => undefined },
    isStoreUnavailable: () => false,
    findPeerVersions: async () => undefined,
    saveRecords: records => { this.saved.push(...records) },
    entryDelayMs: 1000
  })
  const route = this.clusterView.routes!.configuration.routes.find(({ name }) => name === 'resumable')!
  const engine = createEngine('i-1', 'v1')
  this.clusterView.applyRow({ ...encodeEndpointRow(engine), version: 2 }, clock.readMonotonic())
  this.origins.receiveEntry(engine)
  const begin = (): CallerRequest => {
    const request = { requestId: createRequestId(), callerKey: '' } as unknown as CallerRequest
    this.origins.recordBegun(request, route, engine)
    return request
  }
  const ended = Array.from({ length: endedCount }, begin)
  this.running = Array.from({ length: runningCount }, begin)
  for (const request of ended) this.origins.recordEnded(request, route)
})

When('an engine of another software version joins its service', async function (this: OriginsWorld) {
  // A caller may have lost the end of a stream that has just ended.
  await sleep(2100)
  const engine = createEngine('i-2', 'v2')
  this.clusterView.applyRow({ ...encodeEndpointRow(engine), version: 3 }, performance.now())
  this.origins.receiveEntry(engine)
})

Then('it saves the records of the {int} that still run, and of no other', function (this: OriginsWorld, count: number) {
  const route = this.clusterView.routes!.configuration.routes.find(({ name }) => name === 'resumable')!
  assert.deepEqual(this.saved.map(({ key }) => key).sort(), this.running.map(request => computeStreamKey(request.requestId!, request, route)).sort())
  assert.equal(this.saved.length, count)
})

function addEngines ({ clusterView, versionClock }: VersionTaskWorld, count: number, version: string): void {
  for (let index = 0; index < count; index++) {
    clusterView.applyRow({ ...encodeEndpointRow(createEngine(`${version}-${index}`, version)), version: 1 }, versionClock.readMonotonic())
  }
}

Given('a host that has run for {int} ms, and {int} engines of a recorded version', async function (this: VersionTaskWorld, ageMs: number, count: number) {
  const own = { host: 'h1' }
  this.versionClock = new VirtualClock()
  this.eras = new StoreEra()
  this.eras.observe(1)
  this.clusterView = new ClusterView(decodePlatformRow, undefined, this.eras)
  this.writtenAtMs = []
  this.clusterView.applyRow({ ...encodeConfigurationRow(createConfiguration(1, 4)), version: 1 }, 0)
  this.clusterView.applyRow({ table: hostsTable, key: formatHostKey(own.host), version: 1, value: encodeHostsRow({ ...own, address: '10.1.0.1:1', zone: 'a', session: 's1', isLeaving: false }) }, 0)
  this.clusterView.applyRow({ table: hostsTable, key: formatServiceVersionsKey(engineService), version: 1, value: encodeHostsRow({ service: engineService, versions: ['v1'], ...this.clusterView.writtenInEra }) }, 0)
  addEngines(this, count, 'v1')
  this.versionTask = new ServiceVersionTask({
    clock: this.versionClock,
    log: { record: () => {} },
    own,
    clusterView: this.clusterView,
    transact: async () => {
      this.writtenAtMs.push(this.versionClock.readMonotonic())
      return { verdict: 'applied', version: 2 }
    },
    applyRow: row => { this.clusterView.applyRow(row, this.versionClock.readMonotonic()) }
  })
  this.versionTask.start()
  await this.versionClock.runUntilSettled(ageMs)
})

/** Runs the host for a while after something has shown. */
async function runAfter (world: VersionTaskWorld, show: () => void): Promise<void> {
  const shownAtMs = world.versionClock.readMonotonic()
  show()
  world.versionTask.check()
  await world.versionClock.runUntilSettled(shownAtMs + 10_000)
  world.versionTask.stop()
  world.writtenAtMs = world.writtenAtMs.map(atMs => atMs - shownAtMs)
}

When('{int} engines of another version show', async function (this: VersionTaskWorld, count: number) {
  await runAfter(this, () => addEngines(this, count, 'v2'))
})

When('the store is restored from a copy', async function (this: VersionTaskWorld) {
  await runAfter(this, () => { this.eras.observe(2) })
})

Then(/^the host (?:adds that version|writes the versions again) between (\d+) and (\d+) ms later$/, function (this: VersionTaskWorld, earliestMs: number, latestMs: number) {
  assert.equal(this.writtenAtMs.length, 1)
  assert.ok(this.writtenAtMs[0]! >= earliestMs && this.writtenAtMs[0]! <= latestMs, `${this.writtenAtMs[0]} ms`)
})
