/** Steps of the check of a configuration. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { DataTable } from '@cucumber/cucumber'
import fc from 'fast-check'
import { runCheck } from '../../src/bin/runCheck.js'
import { decodeConfiguration } from '../../src/platform/decodeConfiguration.js'
import type { CheckReport } from '../../src/core/configurationCheck/checkFinding.js'
import { runBinaryToEnd } from '../support/runBinary.js'
import type { BinaryResult } from '../support/runBinary.js'

interface CheckWorld {
  /** The version in force, if there is one. */
  files?: Map<string, Buffer>
  checkedFile: Buffer
  code: number
  output: string
  tookMs: number
  result: BinaryResult
}

const base = JSON.stringify({
  version: 7,
  routes: [
    { name: 'chat', hostname: 'chat.example', prefix: '/', routeKind: 'streaming', resumable: true, timeoutMs: 6000, targetLatencyMs: 450, maxAttempts: 1, service: 'llm-pool' },
    { name: 'claims', hostname: 'town.example', prefix: '/claims/', routeKind: 'idempotent', timeoutMs: 2000, targetLatencyMs: 20, maxAttempts: 2, priority: 1, service: 'claims' },
    { name: 'status', hostname: 'town.example', prefix: '/status/', routeKind: 'idempotent', timeoutMs: 1000, targetLatencyMs: 100, public: true, service: 'claims' }
  ],
  services: [
    { name: 'claims', maxConnections: 100 },
    { name: 'llm-pool', maxConnections: 200, engine: { slots: 48, kvCacheTokens: 400_000, adapterSlotCount: 18, models: [{ name: 'base-7b', adapterMb: 80 }] } }
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [
    { name: 'acme', apiKeys: ['key-acme'], unit: 'tokens', plainTokens: 600, ratePerS: 30_000, burst: 30_000 },
    { name: 'globex', apiKeys: ['key-globex'], unit: 'tokens', plainTokens: 600, ratePerS: 60_000, burst: 60_000 }
  ]
})

/** Applies changes such as `routes[1].timeoutMs = 5; limits = nothing`; an entry of a list that becomes nothing is removed. */
function changeBase (changes: string): Buffer {
  const document = JSON.parse(base) as Record<string, unknown>
  for (const change of changes === 'nothing changed' ? [] : changes.split('; ')) {
    const [path, text] = change.split(' = ') as [string, string]
    const parts = path.split(/[.[\]]+/).filter(part => part !== '')
    const parent = parts.slice(0, -1).reduce<Record<string, unknown>>((value, part) => value[part] as Record<string, unknown>, document)
    const last = parts.at(-1)!
    if (text !== 'nothing') parent[last] = JSON.parse(text)
    else if (Array.isArray(parent)) parent.splice(Number(last), 1)
    else Reflect.deleteProperty(parent, last)
  }
  return Buffer.from(JSON.stringify(document))
}

function checkFile (world: CheckWorld, file: Buffer, words: readonly string[] = []): void {
  world.checkedFile = file
  const files = new Map([...world.files ?? [], ['new.json', file]])
  const lines: string[] = []
  const print = (line: string): void => { lines.push(line) }
  const startedAtMs = performance.now()
  world.code = runCheck(['new.json', ...world.files?.keys() ?? [], ...words], { readFile: name => files.get(name)!, print, printError: print })
  world.tookMs = performance.now() - startedAtMs
  world.output = lines.join('\n')
  assert.doesNotMatch(world.output, /key-(acme|globex|\d)|key acme/)
}

const brokenFiles: Record<string, () => string> = {
  'an empty file': () => '\n',
  'text without JSON': () => 'key-acme',
  'a file with a stray comma': () => '{\n"tenants": [{"apiKeys":\n["key-acme" ,, "key-2"]}]}',
  'a file that is cut off': () => '{\n"tenants": [{"apiKeys": ["key-acm',
  'a file with a byte order mark': () => `\ufeff${base}`,
  'a million nested lists': () => '['.repeat(1e6) + ']'.repeat(1e6),
  'a number': () => '17',
  'a file of 4 MB': () => JSON.stringify({ ...JSON.parse(base), filler: 'x'.repeat(4e6) })
}

Given(/^in force is a configuration with (.*)$/, function (this: CheckWorld, changes: string) {
  this.files = new Map([['old.json', changeBase(changes)]])
})

When(/^a configuration with (.*[^,]) is checked$/, function (this: CheckWorld, changes: string) {
  checkFile(this, changes === 'limits twice' ? Buffer.from(base.replace('"limits":', '"limits":{},"limits":')) : changeBase(changes))
})

When(/^(an? (?:empty|file|million|number).*|text without JSON) is checked$/, function (this: CheckWorld, file: string) {
  checkFile(this, Buffer.from(brokenFiles[file]!()))
})

When(/^a configuration with (\d+) routes and (\d+) accounts, half of them repeated, is checked$/, function (this: CheckWorld, routes: string, accounts: string) {
  const document = JSON.parse(base) as { routes: object[], tenants: object[] }
  for (let index = 0; index < Number(routes); index++) document.routes.push({ ...document.routes[1], name: `r${index >> 1}`, prefix: `/p${index >> 1}/` })
  for (let index = 0; index < Number(accounts); index++) document.tenants.push({ name: `t${index}`, apiKeys: [`key-${index >> 1}`] })
  checkFile(this, Buffer.from(JSON.stringify(document)))
})

When(/^"sedgevalve-check ?(.*)" runs$/, async function (this: CheckWorld, words: string) {
  this.result = await runBinaryToEnd('check', words.split(' ').filter(word => word !== ''))
})

When('{int} configurations are checked that are damaged at random', function (this: CheckWorld, count: number) {
  const values = fc.oneof(fc.jsonValue(), fc.constantFrom(-1, 0, 1e308, 'text', [], {}, null))
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(), values), { minLength: 1, maxLength: 4 }), damages => {
    const document = { root: JSON.parse(base) as unknown }
    for (const [draw, value] of damages) {
      const places = listPlaces(document)
      const [parent, name] = places[draw % places.length]!
      Object.defineProperty(parent, name, { value, enumerable: true, configurable: true, writable: true })
    }
    const bytes = Buffer.from(JSON.stringify(document.root))
    checkFile(this, bytes)
    assert.ok(this.code <= 1, this.output)
    assert.equal(this.output.includes('Nothing else was checked'), decodeConfiguration(bytes) === undefined, this.output)
  }), { numRuns: count })
})

/** Lists all members of a value and of those within it. */
function listPlaces (value: unknown): [object, string][] {
  return typeof value === 'object' && value !== null
    ? Object.entries(value).flatMap(([name, member]) => [[value, name] as [object, string], ...listPlaces(member)])
    : []
}

Then('each ends with code 0 or 1, and exactly those count as undecodable that hosts cannot decode', function () { /* checked for each */ })

Then(/^the check ends with code (\d)(?: and prints "(.*)")?$/, function (this: CheckWorld, code: string, text: string | null) {
  assert.equal(this.code, Number(code), this.output)
  assert.ok(this.output.includes(text ?? ''), this.output)
})

Then(/^the check ends with code (\d) within (\d+) s$/, function (this: CheckWorld, code: string, seconds: string) {
  assert.equal(this.code, Number(code), this.output)
  assert.ok(this.tookMs <= Number(seconds) * 1000, `${this.tookMs} ms`)
})

Then(/^the check ends with code 0 and prints only "(.*)"$/, function (this: CheckWorld, text: string) {
  assert.deepEqual([this.code, this.output], [0, text])
})

Then(/^the check prints "(.*)"$/, function (this: CheckWorld, text: string) {
  assert.ok(this.output.includes(text), this.output)
})

Then('the differences are', function (this: CheckWorld, table: DataTable) {
  checkFile(this, this.checkedFile, ['--json'])
  const { differences } = JSON.parse(this.output) as CheckReport
  assert.deepEqual(differences!.map(({ change, path, before, after }) => [change, path, before, after].filter(part => part !== undefined).join(' ')), table.raw().flat())
})

Then(/^the process ends with code 2 and one line with "(.*)"$/, function (this: CheckWorld, text: string) {
  assert.equal(this.result.code, 2)
  assert.match(this.result.errors, /^sedgevalve-check: [^\n]*\n$/)
  assert.ok(this.result.errors.includes(text), this.result.errors)
})
