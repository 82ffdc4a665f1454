/** Steps of hosts that may have missed a software version of a service. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { StoreEra } from '../../src/core/storeEra.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { encodeConfigurationRow, encodeEndpointRow, encodeResumptionHeaders } from '../../src/platform/standinWire.js'
import type { Clock } from '../../src/ports/clock.js'
import type { StoreRow } from '../../src/ports/store.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import { pingSchema, pongSchema } from '../../src/schemas/datagram.js'
import { encodeHostsRow, formatServiceVersionsKey, hostsTable } from '../../src/schemas/hostRows.js'
import { createRequestId, listEventIds, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import { createConfiguration, engineService } from '../../src/standin/fleet/startFleet.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { PeerVersions } from '../../src/tasks/streams/peerVersions.js'
import type { PeerVersionsReply } from '../../src/tasks/streams/peerVersions.js'
import { StreamOrigins } from '../../src/tasks/streams/streamOrigins.js'
import type { StreamOriginsOptions, StreamResolution } from '../../src/tasks/streams/streamOrigins.js'
import { setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { listStreamVersions, ResumingCaller } from '../support/resumingCaller.js'
import { waitUntil } from '../support/waitUntil.js'

interface OutOfStepWorld {
  clusterView: ClusterView
  eras: StoreEra
  /** By which the host's clock is ahead. */
  aheadMs: number
  origins: StreamOrigins
  store: StreamOriginsOptions['store']
  isStoreUnavailable: boolean
  /** What each other host replies; undefined for one that does not. */
  replies: Array<PeerVersionsReply | undefined>
  /** Hosts that do not reply, and had told shortly before that they had learned nothing. */
  accounted: Set<string>
  resolution: StreamResolution
}

interface CutOffWorld extends HostsWorld {
  caller: ResumingCaller
}

Given('a host that knows software version {string} of a service, and {int} other hosts', function (this: OutOfStepWorld, version: string, peers: number) {
  this.eras = new StoreEra()
  this.clusterView = new ClusterView(decodePlatformRow, undefined, this.eras)
  this.clusterView.applyRow({ ...encodeConfigurationRow(createConfiguration(1, 4)), version: 1 }, performance.now())
  this.clusterView.applyRow({
    ...encodeEndpointRow({ id: 'i-1', service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 16, softwareVersion: version, startedAtMs: 1, models: [], orderCount: 0 }), version: 2
  }, performance.now())
  this.replies = Array.from({ length: peers }, () => undefined)
  this.accounted = new Set()
  this.aheadMs = 0
  const log = { record: () => {} }
  const peerVersions = new PeerVersions({
    log,
    listPeers: () => this.replies.map((_, index) => ({ host: String(index), address: String(index) })),
    askPeer: async address => this.replies[Number(address)],
    isAccountedFor: host => this.accounted.has(host),
    random: Math.random
  })
  const clock: Clock = { ...createSystemClock(), readMonotonic: () => performance.now() + this.aheadMs }
  this.origins = new StreamOrigins({
    clock, log, clusterView: this.clusterView, store: { readRow: async (...options) => await this.store.readRow(...options) }, isStoreUnavailable: () => this.isStoreUnavailable, findPeerVersions: async service => await peerVersions.find(service), saveRecords: () => {}, entryDelayMs: 1000
  })
})

const [copyEra, restoredEra] = [1, 2]

Given('it started {int} ms ago, after the store was restored from a copy', function (this: OutOfStepWorld, ageMs: number) {
  this.eras.observe(restoredEra)
  this.origins.receiveEntry(this.clusterView.endpoints.list(performance.now())[0]!)
  this.aheadMs = ageMs
})

When(/^the store tells "v1" as of (the copy|its own start), and the other hosts know "([^"]*)"$/, function (this: OutOfStepWorld, when: string, versions: string) {
  const era = when === 'the copy' ? copyEra : restoredEra
  const row: StoreRow = { table: hostsTable, key: formatServiceVersionsKey(engineService), version: 3, value: encodeHostsRow({ service: engineService, versions: ['v1'], era, firstEra: copyEra }) }
  this.clusterView.applyRow(row, performance.now())
  this.store = { readRow: async () => row }
  receiveReplies(this, versions)
})

Then(/^it tells other hosts (?:nothing|"([^"]*)")$/, function (this: OutOfStepWorld, version: string | null) {
  assert.deepEqual(this.origins.listKnownVersions(engineService), version ? [version] : undefined)
})

/** View age of a host that reaches the store, and of one that lost it. */
const [currentMs, lostMs] = [900, 1100]

/**
 * Sets what each other host replies, such as `v1 v2, v1@store, ?, gone`: the versions that it knows, `@store` if it reaches the store, `?` for no
 * reply, `gone` for one that told shortly before that it had learned nothing. `none` for no other hosts.
 */
function receiveReplies (world: OutOfStepWorld, text: string): void {
  const replies = text === 'none' ? [] : text.split(', ')
  world.replies = replies.map(reply => {
    const [versions = '', reach] = reply.split('@')
    return reply === '?' || reply === 'gone' ? undefined : { versions: versions.split(' '), viewAgeMs: reach === 'store' ? currentMs : lostMs }
  })
  world.accounted = new Set(replies.flatMap((reply, index) => reply === 'gone' ? [String(index)] : []))
}

When(/^the store (?:tells "([^"]*)"|is (silent|unavailable)), and the other hosts know "([^"]*)"$/, function (this: OutOfStepWorld, told: string | undefined, state: string | undefined, versions: string) {
  const row: StoreRow = { table: hostsTable, key: formatServiceVersionsKey(engineService), version: 3, value: encodeHostsRow({ service: engineService, versions: (told ?? '').split(' ') }) }
  this.store = {
    readRow: async (table, key) => {
      if (state) throw new Error('the store does not respond')
      return table === row.table && key === row.key ? row : undefined
    }
  }
  this.isStoreUnavailable = state === 'unavailable'
  if (versions !== '') receiveReplies(this, versions)
})

When('a caller takes up a stream that another host began', async function (this: OutOfStepWorld) {
  const route = this.clusterView.routes!.configuration.routes.find(({ name }) => name === 'resumable')!
  const request = { requestId: 'b', resumedRequestId: 'a', callerKey: '' } as unknown as CallerRequest
  this.resolution = await this.origins.resolve(request, route, engineService)
})

Then('it goes on at version {string}', function (this: OutOfStepWorld, version: string) {
  assert.deepEqual(this.resolution, { kind: 'version', origin: { service: engineService, version } })
})

Then(/^it is refused( with a time to come back)?$/, function (this: OutOfStepWorld, withTime: string | undefined) {
  assert.equal(this.resolution.kind, 'unknown')
  if (withTime) assert.ok(this.resolution.kind === 'unknown' && this.resolution.retryAfterMs! > 0)
})

/** As hosts of commit a9a0bd0 read and write them. */
const earlierPing = Type.Object({ type: Type.Literal('ping'), echo: Type.Integer() })
const earlierPong = { type: 'pong', echo: 1, session: 'a', storeAgeMs: 10 }

Then('a host of the earlier build accepts a ping that asks for software versions', function () {
  const ping = { type: 'ping', echo: 1, service: engineService }
  assert.ok(Value.Check(pingSchema, ping))
  assert.ok(Value.Check(earlierPing, ping))
})

Then('the reply of a host of the earlier build is accepted, and tells no software versions', function () {
  assert.ok(Value.Check(pongSchema, earlierPong))
  assert.equal(Value.Cast(pongSchema, earlierPong).softwareVersions, undefined)
})

When('{int} streams run at all hosts', async function (this: CutOffWorld, count: number) {
  this.answers = []
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 25 })
  for (let index = 0; index < count; index++) await this.hostFleet.call({ kind: 'resumable', host: index % this.hostFleet.hosts.length + 1 })
})

When('host {int} is cut off from the store and the other hosts', function (this: CutOffWorld, host: number) {
  const { hostName } = this.hostFleet.hosts[host - 1]!.settings
  this.hostFleet.isCutOff = name => name === hostName
})

/** Begins a stream, and closes its connection when the first events have come. */
async function loseStream ({ hostFleet }: CutOffWorld, host: number): Promise<FleetAnswer> {
  const requestId = createRequestId()
  const leaving = new AbortController()
  let isOver = false
  const answered = hostFleet.call({ kind: 'resumable', host, requestId, signal: leaving.signal }).finally(() => { isOver = true })
  await waitUntil(() => isOver || hostFleet.fleet.journal.listRuns(requestId).length > 0)
  await sleep(60)
  leaving.abort()
  return await answered
}

When('callers lose {int} streams at hosts 1 and 2, and take them up at host 3', { timeout: 30_000 }, async function (this: CutOffWorld, count: number) {
  this.caller = new ResumingCaller(this)
  await waitUntil(() => this.hostFleet.listLines('versions.written').some(({ fields }) => fields.verdict === 'applied' && (fields.versions as string[]).length > 1))
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 25 })
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    // Without an adapter, every engine can serve a stream.
    const begun = await loseStream(this, index % 2 + 1)
    const lastEventId = listEventIds(begun).at(-1) ?? 0
    const attempts = lastEventId === 0 ? [begun] : [begun, await this.hostFleet.call({ kind: 'resumable', host: 3, headers: encodeResumptionHeaders(begun.requestId, lastEventId) })]
    this.caller.streams.push({ attempts, firstId: begun.requestId, lastEventId })
  }))
})

When('the store falls silent for {int} ms', { timeout: 20_000 }, async function (this: CutOffWorld, ms: number) {
  this.hostFleet.fleet.store.setFault('silent' satisfies StoreFault)
  await sleep(ms)
})

When('callers lose {int} streams at host 3, which then no host reaches, and take them up at hosts 1 and 2', { timeout: 30_000 }, async function (this: CutOffWorld, count: number) {
  this.caller = new ResumingCaller(this)
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 25 })
  const begun = await Promise.all(Array.from({ length: count }, async () => await loseStream(this, 3)))
  const { hostName } = this.hostFleet.hosts[2]!.settings
  this.hostFleet.isCutOff = name => name === hostName
  await Promise.all(begun.map(async (first, index) => {
    const lastEventId = listEventIds(first).at(-1) ?? 0
    const attempts = lastEventId === 0 ? [first] : [first, await this.hostFleet.call({ kind: 'resumable', host: index % 2 + 1, headers: encodeResumptionHeaders(first.requestId, lastEventId) })]
    this.caller.streams.push({ attempts, firstId: first.requestId, lastEventId })
  }))
})

Then('at least {int} of the {int} streams go on', function (this: CutOffWorld, least: number, count: number) {
  const continued = this.caller.streams.filter(({ attempts }) => attempts.length > 1 && looksWhole(attempts.at(-1)!))
  assert.ok(continued.length >= least, `${continued.length} of ${count}: ${this.caller.streams.map(({ attempts }) => attempts.at(-1)!.status).join()}`)
})

Then('at least {int} of them began at version {string}', function (this: CutOffWorld, least: number, version: string) {
  const begun = this.caller.streams.filter(stream => stream.attempts.length > 1 && listStreamVersions(this, stream)[0] === version)
  assert.ok(begun.length >= least, `${begun.length} of ${this.caller.streams.length}`)
})

Then('host 3 asked others for the versions, and got too few replies', function (this: CutOffWorld) {
  const { hostName } = this.hostFleet.hosts[2]!.settings
  assert.ok(this.hostFleet.listLines('stream.versionsAsked').some(({ host, fields }) => host === hostName && fields.replies === 0 && fields.isEnough === false))
})
