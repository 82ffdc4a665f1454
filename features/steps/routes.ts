/** Steps of routes, rows and the directory of endpoints. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { EndpointDirectory } from '../../src/core/endpointDirectory.js'
import { NewsBoard } from '../../src/core/newsBoard.js'
import { pickService, RouteTable } from '../../src/core/routeTable.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { decodeEndpoint } from '../../src/platform/decodeEndpoint.js'
import { decodePlatformRow } from '../../src/platform/decodeNews.js'
import type { EndpointEntry, Route, RouteTarget, RoutingConfiguration } from '../../src/schemas/routing.js'

interface RoutesWorld {
  table: RouteTable
  split: RouteTarget[]
  board: NewsBoard
  mirror: RowMirror
  entry: EndpointEntry | undefined
  directory: EndpointDirectory
}

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function createConfiguration (names: string[]): RoutingConfiguration {
  const routes = names.map((name): Route => {
    const [hostname = '', prefix = ''] = name.split(' ')
    return { name, hostname, prefix, kind: 'once', isResumable: false, timeoutMs: 1000, targetMs: 100, maxGapMs: undefined, patienceMs: 1000, rank: 0, maxAttempts: 1, targets: [] }
  })
  return { version: 1, routes, services: new Map(), limits }
}

Given('a configuration with routes {string}, {string}, {string}', function (this: RoutesWorld, first: string, second: string, third: string) {
  this.table = new RouteTable(createConfiguration([first, second, third]))
})

Then(/^a request for "([^"]+)" with path "([^"]+)" takes (?:"([^"]+)"|no route)$/, function (this: RoutesWorld, host: string, path: string, route: string | null) {
  assert.equal(this.table.findRoute(host, path)?.name, route ?? undefined)
})

Given('a split of {int} for {string} and {int} for {string}', function (this: RoutesWorld, first: number, one: string, second: number, two: string) {
  this.split = [{ service: one, weight: first }, { service: two, weight: second }]
})

Then(/^the fractions ([0-9., ]+) go to "([^"]+)"$/, function (this: RoutesWorld, fractions: string, service: string) {
  for (const fraction of fractions.split(',')) assert.equal(pickService(this.split, Number(fraction)), service)
})

function writeConfiguration (board: NewsBoard, version: number, rowVersion: number): void {
  const value = Buffer.from(JSON.stringify({ version, routes: [], services: [], limits }))
  board.applyRow({ table: 'op', key: 'config', version: rowVersion, value }, 0)
}

Given('a board with configuration {int}', function (this: RoutesWorld, version: number) {
  this.board = new NewsBoard(decodePlatformRow)
  writeConfiguration(this.board, version, 10)
})

When('configuration {int} arrives later', function (this: RoutesWorld, version: number) {
  writeConfiguration(this.board, version, 11)
})

Then('configuration {int} is in force', function (this: RoutesWorld, version: number) {
  assert.equal(this.board.routes?.configuration.version, version)
})

Given('a mirror that knows row {string} of version {int}', function (this: RoutesWorld, key: string, version: number) {
  this.mirror = new RowMirror('log', () => false, () => {})
  this.mirror.applyChanges('t', [{ table: 't', key, version, value: Buffer.from('v') }], version)
})

When('row {string} of version {int} arrives', function (this: RoutesWorld, key: string, version: number) {
  this.mirror.applyChanges('t', [{ table: 't', key, version, value: Buffer.from('w') }], version)
})

When('the whole table as of version {int} arrives without it', function (this: RoutesWorld, version: number) {
  this.mirror.applyTable('t', [], version)
})

Then('the mirror has row {string} of version {int}', function (this: RoutesWorld, key: string, version: number) {
  assert.equal(this.mirror.findRow('t', key)?.version, version)
})

Then('the mirror has no row {string}', function (this: RoutesWorld, key: string) {
  assert.equal(this.mirror.findRow('t', key), undefined)
})

const soundEntry = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: 'ready', sequence: 1, born: 1_790_000_000_000 }

const entryFaults: Record<string, unknown> = {
  'no address': { ...soundEntry, address: undefined },
  'an address without port': { ...soundEntry, address: '10.0.0.1' },
  'an unknown state': { ...soundEntry, state: 'asleep' },
  'slots that are a text': { ...soundEntry, slots: 'six' },
  'a start time in fractions': { ...soundEntry, born: 1.5 },
  'no start time': { ...soundEntry, born: undefined }
}

Given(/^the entry of endpoint "([^"]+)" with (.+)$/, function (this: RoutesWorld, id: string, fault: string) {
  const text = fault === 'bytes that are no JSON' ? '{"service":' : JSON.stringify(entryFaults[fault])
  this.entry = decodeEndpoint(id, Buffer.from(text))
})

Then('no endpoint can be read from it', function (this: RoutesWorld) {
  assert.equal(this.entry, undefined)
})

Then('the endpoint can be read from it', function (this: RoutesWorld) {
  assert.equal(this.entry?.address, soundEntry.address)
})

Given('a directory that knows endpoint {string}', function (this: RoutesWorld, id: string) {
  this.directory = new EndpointDirectory()
  this.directory.recordEntry(decodeEndpoint(id, Buffer.from(JSON.stringify(soundEntry)))!, 0)
})

Given('the store is away for {int} ms at {int} ms', function (this: RoutesWorld, ageMs: number, nowMs: number) {
  this.directory.recordStoreAway(nowMs, ageMs)
})

When('the entry of {string} is removed at {int} ms', function (this: RoutesWorld, id: string, nowMs: number) {
  this.directory.recordRemoved(id, nowMs, true)
})

When('the entry of {string} says that it leaves', function (this: RoutesWorld, id: string) {
  this.directory.recordEntry(decodeEndpoint(id, Buffer.from(JSON.stringify({ ...soundEntry, state: 'draining' })))!, 0)
})

Then(/^"([^"]+)" takes (no )?work at (\d+) ms$/, function (this: RoutesWorld, id: string, no: string | null, nowMs: string) {
  const ids = this.directory.listUsable('s', Number(nowMs)).map(entry => entry.id)
  assert.equal(ids.includes(id), no === null)
})
