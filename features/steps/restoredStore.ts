/** Steps for what a host knows when the store is restored from a copy. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createSuspectTasks } from '../../src/bin/createSuspectTasks.js'
import type { SuspectTasks } from '../../src/bin/createSuspectTasks.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { computeFencingToken, StoreEra } from '../../src/core/storeEra.js'
import { listServiceVersions } from '../../src/core/serviceVersions.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import { encodeConfigurationRow, encodeEndpointRow } from '../../src/platform/standinWire.js'
import type { StoreOutcome, StoreTransaction } from '../../src/ports/store.js'
import { hostMessageSchema } from '../../src/schemas/datagram.js'
import { decodeHostsRow, encodeHostsRow, formatHostKey, formatOwnerKey, formatServiceVersionsKey, formatSuspectKey, hostsTable, parseHostsKey } from '../../src/schemas/hostRows.js'
import type { EndpointEntry } from '../../src/schemas/routing.js'
import { RowStore } from '../../src/standin/fleet/rowStore.js'
import { createConfiguration, engineService } from '../../src/standin/fleet/startFleet.js'
import { createEraCheckedStore } from '../../src/tasks/clusterView/eraChecks.js'
import { createOwnerWrite } from '../../src/tasks/leases/ownershipReconciler.js'
import { ServiceVersionTask } from '../../src/tasks/streams/serviceVersionTask.js'

interface RestoredWorld {
  clusterView: ClusterView
  eras: StoreEra
  clock: VirtualClock
  rows: RowStore
  suspects: SuspectTasks[]
  written: StoreTransaction[]
  response: { error: string | undefined, changes: number }
}

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function applyConfiguration (clusterView: ClusterView, number: number, rowVersion: number, mayBeRestored: boolean): void {
  const value = Buffer.from(JSON.stringify({ version: number, routes: [], services: [], limits }))
  clusterView.applyRow({ table: 'op', key: 'config', version: rowVersion, value }, 0, mayBeRestored)
}

Given('a cluster view that had configuration {int} in row {int} and has configuration {int} in row {int}', function (this: RestoredWorld, former: number, formerRow: number, latest: number, latestRow: number) {
  this.clusterView = new ClusterView(decodePlatformRow)
  applyConfiguration(this.clusterView, former, formerRow, false)
  applyConfiguration(this.clusterView, latest, latestRow, false)
})

When(/^the store is restored from a copy, and configuration (\d+) (?:is read )?in row (\d+)(?: is followed by (\d+) in row (\d+)|, and (\d+) ms pass)?$/, function (this: RestoredWorld, number: string, row: string, next: string | null, nextRow: string | null, ms: string | null) {
  this.clusterView.beginEra(0)
  applyConfiguration(this.clusterView, Number(number), Number(row), true)
  if (next !== null) applyConfiguration(this.clusterView, Number(next), Number(nextRow), false)
  this.clusterView.releaseHeldConfiguration(Number(ms ?? 0))
})

function createEntry (startedAtMs: number, isLeaving: boolean): EndpointEntry {
  return { id: 'i-1', service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving, goneInMs: undefined, places: 16, softwareVersion: 'v1', startedAtMs, models: [], orderCount: 0 }
}

function applyEntry (clusterView: ClusterView, entry: EndpointEntry, rowVersion: number, mayBeRestored: boolean): void {
  clusterView.applyRow({ ...encodeEndpointRow(entry), version: rowVersion }, 0, mayBeRestored)
}

Given(/^an endpoint that (has left|is leaving|has restarted)$/, function (this: RestoredWorld, known: string) {
  this.clusterView = new ClusterView(decodePlatformRow)
  applyEntry(this.clusterView, createEntry(10, false), 40, false)
  if (known === 'has left') this.clusterView.applyRow({ table: 'servers', key: 'i-1', version: 60, value: undefined }, 0)
  else applyEntry(this.clusterView, known === 'is leaving' ? createEntry(10, true) : createEntry(20, false), 60, false)
})

When(/^the store is restored from a copy that has it as ready, and (nothing else is written|a new process of it writes its entry)$/, function (this: RestoredWorld, then: string) {
  this.clusterView.beginEra(0)
  applyEntry(this.clusterView, createEntry(10, false), 40, true)
  if (then !== 'nothing else is written') applyEntry(this.clusterView, createEntry(30, false), 55, false)
})

Then(/^it is (used|not used)$/, function (this: RestoredWorld, expected: string) {
  const [entry] = this.clusterView.endpoints.listUsable(engineService, 0)
  assert.equal(entry !== undefined, expected === 'used')
  if (entry) assert.ok(entry.startedAtMs > 10, 'the entry of the former process is used')
})

Given('a store client whose last response was of era {int}', function (this: RestoredWorld, era: number) {
  this.eras = new StoreEra()
  this.eras.observe(era)
})

When('the store answers with the era {string}', async function (this: RestoredWorld, named: string) {
  const server = createServer((_request, response) => {
    response.writeHead(200, { 'content-type': 'application/json', ...(named !== '' && { 'store-era': named }) }).end('{"rows":[],"ver":1}')
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const store = createEraCheckedStore(createStoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`), this.eras)
  let changes = 0
  this.eras.onNewEra(() => { changes++ })
  const error = await store.readTable('op').then(() => undefined, (failure: Error) => failure.message)
  this.response = { error, changes }
  await store.close()
  server.close()
})

Then(/^the response (is of the latest era|begins a new era|is not used)$/, function (this: RestoredWorld, effect: string) {
  const { error, changes } = this.response
  assert.equal(changes, effect === 'begins a new era' ? 1 : 0)
  // The versions of a response in which an era begins are not compared with what was asked for in the era before.
  assert.equal(error === undefined, effect === 'is of the latest era', error)
})

const suspectRows = ['r1', 'r2'].map(fingerprint => ({ fingerprint, crash: 'i-1@0/1' }))

function applySuspects ({ rows, suspects }: RestoredWorld, mayBeRestored: boolean): void {
  for (const row of suspectRows) {
    const key = formatSuspectKey(row)
    const found = rows.listRows(hostsTable).find(stored => stored.key === key)
    for (const tasks of suspects) tasks.applyChange({ kind: 'suspect', name: parseHostsKey(key)!.name, suspect: found && row, version: found?.version ?? rows.version, mayBeRestored })
  }
}

Given('{int} hosts that know {int} crash rows, of which the first was removed', function (this: RestoredWorld, hosts: number, _rows: number) {
  this.clock = new VirtualClock()
  this.rows = new RowStore()
  const names = Array.from({ length: hosts }, (_, index) => ({ host: `host-${index}`, address: `10.0.0.${index}` }))
  this.suspects = names.map(own => createSuspectTasks({
    clock: this.clock,
    log: { record: () => {} },
    own,
    listHosts: () => names,
    send: () => {},
    transact: async transaction => {
      const outcome = this.rows.transact(transaction)
      applySuspects(this, false)
      return outcome
    },
    isStoreUnavailable: () => false,
    random: Math.random,
    receiveCrash: () => {},
    receiveRefused: () => {}
  }))
  this.rows.write(...suspectRows.map(row => ({ table: hostsTable, key: formatSuspectKey(row), value: encodeHostsRow(row) })))
  applySuspects(this, false)
  this.rows.transact({ checks: [], writes: [], removals: [{ table: hostsTable, key: formatSuspectKey(suspectRows[0]!) }] })
  applySuspects(this, false)
})

When('the store is restored from a copy that has the first row alone', function (this: RestoredWorld) {
  this.rows = new RowStore()
  this.rows.write({ table: hostsTable, key: formatSuspectKey(suspectRows[0]!), value: encodeHostsRow(suspectRows[0]!) })
  applySuspects(this, true)
})

When('{int} s pass for them', async function (this: RestoredWorld, seconds: number) {
  await this.clock.runUntilSettled(this.clock.readMonotonic() + seconds * 1000)
})

Then('the store has the second row alone', function (this: RestoredWorld) {
  assert.deepEqual(this.rows.listRows(hostsTable).map(({ key }) => key), [formatSuspectKey(suspectRows[1]!)])
})

Given('a host that knows software versions {string} of a service', function (this: RestoredWorld, versions: string) {
  this.clock = new VirtualClock()
  this.eras = new StoreEra()
  this.eras.observe(1)
  this.written = []
  this.clusterView = new ClusterView(decodePlatformRow, undefined, this.eras)
  this.clusterView.applyRow({ ...encodeConfigurationRow(createConfiguration(1, 4)), version: 1 }, 0)
  this.clusterView.applyRow({ table: hostsTable, key: formatHostKey('h1'), version: 2, value: encodeHostsRow({ host: 'h1', address: '10.1.0.1:1', zone: 'a', session: 's1', isLeaving: false, era: 1, firstEra: 1 }) }, 0)
  this.clusterView.applyRow({ table: hostsTable, key: formatServiceVersionsKey(engineService), version: 80, value: encodeHostsRow({ service: engineService, versions: versions.split(' ') }) }, 0)
})

When('the store is restored from a copy that knows {string}', async function (this: RestoredWorld, versions: string) {
  const task = new ServiceVersionTask({
    clock: this.clock,
    log: { record: () => {} },
    own: { host: 'h1' },
    clusterView: this.clusterView,
    transact: async (transaction): Promise<StoreOutcome> => {
      this.written.push(transaction)
      return { verdict: 'applied', version: 90 + this.written.length }
    },
    applyRow: row => { this.clusterView.applyRow(row, this.clock.readMonotonic()) }
  })
  task.start()
  this.eras.observe(2)
  this.clusterView.beginEra(0)
  this.clusterView.applyRow({ table: hostsTable, key: formatServiceVersionsKey(engineService), version: 40, value: encodeHostsRow({ service: engineService, versions: versions.split(' ') }) }, 0, true)
  await this.clock.runUntilSettled(this.clock.readMonotonic() + 8000)
  task.stop()
})

Then('the host still tells the versions {string}, and writes them again', function (this: RestoredWorld, versions: string) {
  assert.deepEqual(listServiceVersions(this.clusterView, engineService, 0).sort(), versions.split(' '))
  const [first, ...others] = this.written.filter(({ writes }) => parseHostsKey(writes[0]!.key)?.kind === 'versions')
  const decoded = decodeHostsRow(first!.writes[0]!.key, first!.writes[0]!.value)
  assert.ok(decoded?.kind === 'versions')
  assert.deepEqual([...decoded.row.versions].sort(), versions.split(' '))
  assert.equal(first!.checks[0]!.version, 40)
  assert.equal(others.length, 0, 'they are written once')
})

/** What the last build checks, as it was at its landing. */
const lastForms = Object.freeze({
  renewal: Type.Object({ type: Type.Literal('renew'), id: Type.Integer(), renewal: Type.Integer(), version: Type.Integer() }),
  renewalResult: Type.Object({
    type: Type.Literal('renewed'),
    id: Type.Integer(),
    verdict: Type.Union([Type.Literal('applied'), Type.Literal('conflict'), Type.Literal('failed')]),
    version: Type.Integer(),
    current: Type.Optional(Type.Object({ session: Type.String(), renewal: Type.Integer() }))
  }),
  hostRow: Type.Object({ host: Type.String(), address: Type.String(), zone: Type.String(), session: Type.String(), isLeaving: Type.Boolean() }),
  ownerRow: Type.Object({ endpointId: Type.String(), host: Type.String(), address: Type.String(), session: Type.String(), formerHosts: Type.Optional(Type.Array(Type.String())) }),
  transaction: Type.Object({ checks: Type.Array(Type.Object({ table: Type.String(), key: Type.String(), version: Type.Number() })), writes: Type.Array(Type.Any()), removals: Type.Array(Type.Any()) }),
  updates: Type.Object({
    logId: Type.String(),
    position: Type.Number(),
    isWhole: Type.Boolean(),
    rows: Type.Array(Type.Any()),
    versions: Type.Record(Type.String(), Type.Number()),
    storeAgeMs: Type.Number(),
    tableAgesMs: Type.Optional(Type.Record(Type.String(), Type.Number()))
  })
})
const owner = Object.freeze({ host: 'h1', address: '10.1.0.1', session: 's1' })

Then('a host of the last build accepts the renewals, replies, rows, updates and transactions of this one', function () {
  assert.ok(Value.Check(lastForms.renewal, { type: 'renew', id: 1, renewal: 2, version: 3, era: 1 }))
  assert.ok(Value.Check(lastForms.renewalResult, { type: 'renewed', id: 1, verdict: 'conflict', version: 3, era: 1, current: { session: 's1', renewal: 2 } }))
  const ownerWrite = createOwnerWrite('i-1', { ...owner, formerHosts: ['h2'], era: 1, firstEra: 1 })
  assert.ok(Value.Check(lastForms.ownerRow, JSON.parse(Buffer.from(ownerWrite.value).toString())))
  assert.ok(Value.Check(lastForms.hostRow, JSON.parse(Buffer.from(encodeHostsRow({ ...owner, zone: 'a', isLeaving: false, era: 1, firstEra: 1 })).toString())))
  assert.ok(Value.Check(lastForms.transaction, { checks: [{ table: hostsTable, key: 'owner/i-1', version: 3 }], writes: [ownerWrite], removals: [], era: 1 }))
  assert.ok(Value.Check(lastForms.updates, { logId: 's1.2', position: 7, isWhole: true, rows: [], versions: { op: 3 }, storeAgeMs: 5, tableAgesMs: { op: 5 }, era: 2 }))
})

Then('this one accepts those of the last build, and computes the same fencing tokens while the store has not been restored', function () {
  assert.ok(Value.Check(hostMessageSchema, { type: 'renew', id: 1, renewal: 2, version: 3 }))
  assert.ok(Value.Check(hostMessageSchema, { type: 'renewed', id: 1, verdict: 'applied', version: 3 }))
  const eras = new StoreEra()
  eras.observe(7)
  const clusterView = new ClusterView(decodePlatformRow, undefined, eras)
  clusterView.applyRow({ table: hostsTable, key: formatHostKey('h1'), version: 40, value: Buffer.from(JSON.stringify({ ...owner, zone: 'a', isLeaving: false })) }, 0)
  clusterView.applyRow({ table: hostsTable, key: formatOwnerKey('i-1'), version: 41, value: Buffer.from(JSON.stringify({ endpointId: 'i-1', ...owner })) }, 0)
  const known = clusterView.owners.get('i-1')!
  assert.equal(clusterView.computeFencingToken(known.version, eras.current), 41)
  assert.equal(clusterView.isUncertainOwner(known), false)
  assert.ok(computeFencingToken(1, 8, 7) > computeFencingToken(1_000_000_000, 7, 7))
})
