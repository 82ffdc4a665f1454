/** Steps for routing, store rows and the endpoint directory. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { EndpointDirectory } from '../../src/core/endpointDirectory.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { pickService, RouteTable } from '../../src/core/routeTable.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { createDeepEntryText } from '../support/oddEntries.js'
import { decodeEndpoint } from '../../src/platform/decodeEndpoint.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import type { EndpointEntry, Route, RouteTarget, RoutingConfiguration } from '../../src/schemas/routing.js'

interface RoutesWorld {
  routeTable: RouteTable
  targets: RouteTarget[]
  clusterView: ClusterView
  mirror: RowMirror
  /** Keys of the rows that the mirror's receiver applied, and those that it failed at with the reason. */
  received: string[]
  failedRows: string[]
  entry: EndpointEntry | undefined
  directory: EndpointDirectory
}

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function createConfiguration (names: string[]): RoutingConfiguration {
  const routes = names.map((name): Route => {
    const [hostname = '', prefix = ''] = name.split(' ')
    return { name, hostname, prefix, kind: 'once', isResumable: false, timeoutMs: 1000, targetMs: 100, maxGapMs: undefined, patienceMs: 1000, isPublic: false, rank: 0, maxAttempts: 1, targets: [] }
  })
  return { version: 1, routes, services: new Map(), limits }
}

Given('a configuration with routes {string}, {string}, {string}', function (this: RoutesWorld, first: string, second: string, third: string) {
  this.routeTable = new RouteTable(createConfiguration([first, second, third]))
})

Then(/^a request for "([^"]+)" with path "([^"]+)" uses (?:"([^"]+)"|no route)$/, function (this: RoutesWorld, host: string, path: string, route: string | null) {
  assert.equal(this.routeTable.findRoute(host, path)?.name, route ?? undefined)
})

Given('a split of {int} for {string} and {int} for {string}', function (this: RoutesWorld, first: number, one: string, second: number, two: string) {
  this.targets = [{ service: one, weight: first }, { service: two, weight: second }]
})

Then(/^the fractions ([0-9., ]+) go to "([^"]+)"$/, function (this: RoutesWorld, fractions: string, service: string) {
  for (const fraction of fractions.split(',')) assert.equal(pickService(this.targets, Number(fraction)), service)
})

function writeConfiguration (clusterView: ClusterView, version: number, rowVersion: number): void {
  const value = Buffer.from(JSON.stringify({ version, routes: [], services: [], limits }))
  clusterView.applyRow({ table: 'op', key: 'config', version: rowVersion, value }, 0)
}

Given('a cluster view with configuration {int}', function (this: RoutesWorld, version: number) {
  this.clusterView = new ClusterView(decodePlatformRow)
  writeConfiguration(this.clusterView, version, 10)
})

When('configuration {int} arrives later', function (this: RoutesWorld, version: number) {
  writeConfiguration(this.clusterView, version, 11)
})

Then('configuration {int} is in force', function (this: RoutesWorld, version: number) {
  assert.equal(this.clusterView.routes?.configuration.version, version)
})

Given('a mirror that knows row {string} of version {int}', function (this: RoutesWorld, key: string, version: number) {
  this.mirror = new RowMirror('log', () => false, () => {}, (_row, error) => { throw error })
  this.mirror.applyChanges('t', [{ table: 't', key, version, value: Buffer.from('v') }], version)
})

When('row {string} of version {int} arrives', function (this: RoutesWorld, key: string, version: number) {
  this.mirror.applyChanges('t', [{ table: 't', key, version, value: Buffer.from('w') }], version)
})

Given('a mirror whose receiver fails at row {string}', function (this: RoutesWorld, failingKey: string) {
  this.received = []
  this.failedRows = []
  this.mirror = new RowMirror('log', () => false, ({ key }) => {
    if (key === failingKey) throw new Error('cannot be applied')
    this.received.push(key)
  }, ({ key }, error) => this.failedRows.push(`${key}: ${error.message}`))
})

When('rows {string}, {string} and {string} arrive together as of version {int}', function (this: RoutesWorld, first: string, second: string, third: string, version: number) {
  this.mirror.applyChanges('t', [first, second, third].map((key, index) => ({ table: 't', key, version: version - 2 + index, value: Buffer.from('w') })), version)
})

Then('rows {string} and {string} were applied, row {string} was reported, and the table is known up to version {int}', function (this: RoutesWorld, first: string, second: string, failed: string, version: number) {
  assert.deepEqual(this.received, [first, second])
  assert.deepEqual(this.failedRows, [`${failed}: cannot be applied`])
  assert.equal(this.mirror.findTableVersion('t'), version)
})

When('the full table as of version {int} arrives without it', function (this: RoutesWorld, version: number) {
  this.mirror.replaceTable('t', [], version)
})

Then('the mirror has row {string} of version {int}', function (this: RoutesWorld, key: string, version: number) {
  assert.equal(this.mirror.findRow('t', key)?.version, version)
})

Then('the mirror has no row {string}', function (this: RoutesWorld, key: string) {
  assert.equal(this.mirror.findRow('t', key), undefined)
})

const validEntry = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: 'ready', sequence: 1, born: 1_790_000_000_000 }

const entriesByFault: Record<string, unknown> = {
  'no address': { ...validEntry, address: undefined },
  'an address without a port': { ...validEntry, address: '10.0.0.1' },
  'an unknown state': { ...validEntry, state: 'asleep' },
  'slots as a string': { ...validEntry, slots: 'six' },
  'a fractional start time': { ...validEntry, born: 1.5 },
  'a version that is a list': { ...validEntry, version: ['2.1'] },
  'a port of 0': { ...validEntry, address: '10.0.0.1:0' },
  'a port of 70000': { ...validEntry, address: '10.0.0.1:70000' },
  'an address of dots': { ...validEntry, address: '...:80' },
  'an address with a part of 999': { ...validEntry, address: '999.0.0.1:80' },
  '1e300 slots': { ...validEntry, slots: 1e300 },
  'a start time of 1e300': { ...validEntry, born: 1e300 },
  'a negative start time': { ...validEntry, born: -1 },
  'a remaining time of 1e300': { ...validEntry, remainingMs: 1e300 },
  'a sequence of 1e300': { ...validEntry, sequence: 1e300 },
  'a model version of 1e300': { ...validEntry, models: [{ name: 'base', version: 1e300, adapters: [] }] },
  'a version that is a number': { ...validEntry, version: 3 },
  'no start time': { ...validEntry, born: undefined }
}

const textsByFault: Record<string, string> = {
  'invalid JSON': '{"service":',
  'a deeply nested version': createDeepEntryText(validEntry)
}

Given(/^the entry of endpoint "([^"]+)" with (.+)$/, function (this: RoutesWorld, id: string, fault: string) {
  const text = textsByFault[fault] ?? JSON.stringify(entriesByFault[fault])
  this.entry = decodeEndpoint(id, Buffer.from(text))
})

Then('no endpoint can be decoded from it', function (this: RoutesWorld) {
  assert.equal(this.entry, undefined)
})

Then('the endpoint can be decoded from it', function (this: RoutesWorld) {
  assert.equal(this.entry?.address, validEntry.address)
})

Given('a directory that knows endpoint {string}', function (this: RoutesWorld, id: string) {
  this.directory = new EndpointDirectory()
  this.directory.recordEntry(decodeEndpoint(id, Buffer.from(JSON.stringify(validEntry)))!, 0)
})

Given('the store has been unavailable for {int} ms at {int} ms', function (this: RoutesWorld, outageMs: number, nowMs: number) {
  this.directory.recordStoreUnavailable(nowMs, outageMs)
})

When('the entry of {string} is removed at {int} ms', function (this: RoutesWorld, id: string, nowMs: number) {
  this.directory.recordRemoval(id, nowMs, true)
})

When('the entry of {string} says that the endpoint is leaving', function (this: RoutesWorld, id: string) {
  this.directory.recordEntry(decodeEndpoint(id, Buffer.from(JSON.stringify({ ...validEntry, state: 'draining' })))!, 0)
})

Then(/^"([^"]+)" accepts (no )?requests at (\d+) ms$/, function (this: RoutesWorld, id: string, negation: string | null, nowMs: string) {
  const ids = this.directory.listUsable('s', Number(nowMs)).map(entry => entry.id)
  assert.equal(ids.includes(id), negation === null)
})
