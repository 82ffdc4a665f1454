/** Steps of the stand-ins of the platform, in memory and over HTTP. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { createHttpPlatform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import type { Platform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { createFaultyPlatform } from '../../src/adapters/memoryPlatform/faultyPlatform.js'
import { MemoryHostList } from '../../src/adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjectStore } from '../../src/adapters/memoryPlatform/memoryObjectStore.js'
import { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import { isPlatformUnavailable } from '../../src/ports/platformUnavailable.js'
import type { TransactionOutcome } from '../../src/ports/table.js'
import { startPlatformServer } from '../../src/standin/platformServer.js'
import { waitUntil } from '../support/waitUntil.js'

const lateMs = 200

interface PlatformWorld {
  platform: Platform
  setFault: (name: string, value: unknown) => Promise<boolean>
  outcome: TransactionOutcome
  outcomes: TransactionOutcome[]
  longKey: string
  stopPlatform: (() => Promise<void>) | undefined
}

async function openPlatform (world: PlatformWorld, isHttp: boolean): Promise<void> {
  const clock = createSystemClock()
  const faults = createPlatformFaults({ lateMs })
  const services = createFaultyPlatform({
    clock, faults, table: new MemoryTable(), objects: new MemoryObjectStore(), hostList: new MemoryHostList(clock, 0)
  })
  if (!isHttp) {
    world.platform = { ...services, close: async () => {} }
    world.setFault = async (name, value) => Object.assign(faults, { [name]: value }) !== undefined
    return
  }
  const server = await startPlatformServer({ address: '127.0.0.1', port: 0, ...services, faults })
  const platform = createHttpPlatform(server.address)
  world.platform = platform
  world.setFault = async (name, value) => {
    const response = await fetch(`http://${server.address}/faults`, {
      method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ [name]: value })
    })
    await response.text()
    return response.ok
  }
  world.stopPlatform = async () => {
    await platform.close()
    await server.stop()
  }
}

After(async function (this: PlatformWorld) { await this.stopPlatform?.() })

function splitNames (names: string): string[] {
  return names === '' ? [] : names.split(', ')
}

let tokens = 0

async function writeRows ({ platform }: PlatformWorld, keys: string[], value: unknown = 1): Promise<TransactionOutcome> {
  return await platform.table.transact({
    token: `test-${++tokens}`,
    checks: value === null ? [] : keys.map(key => ({ key, version: 0 })),
    writes: keys.map(key => ({ key, value }))
  })
}

async function listKeys ({ platform }: PlatformWorld): Promise<string[]> {
  return (await platform.table.listRows({ prefix: '', after: '', limit: 1000 })).map(row => row.key)
}

async function checkUnavailable (call: Promise<unknown>): Promise<void> {
  await assert.rejects(call, (error: unknown) => isPlatformUnavailable(error))
}

Given('a platform in memory', async function (this: PlatformWorld) { await openPlatform(this, false) })

Given('a platform over HTTP', async function (this: PlatformWorld) { await openPlatform(this, true) })

Given(/^the switch "(.*)" is (on|off)$/, async function (this: PlatformWorld, name: string, state: string) {
  assert.ok(await this.setFault(name, state === 'on'))
})

Given('the switch {string} is set to {int}', async function (this: PlatformWorld, name: string, value: number) {
  assert.ok(await this.setFault(name, value))
})

When('the rows {string} are written where they are absent', async function (this: PlatformWorld, keys: string) {
  this.outcome = await writeRows(this, splitNames(keys))
})

When('the row {string} is removed', async function (this: PlatformWorld, key: string) {
  this.outcome = await writeRows(this, [key], null)
})

When('{int} rows are written at once, each for itself', async function (this: PlatformWorld, count: number) {
  this.outcomes = await Promise.all(Array.from({ length: count }, async (_, index) => await writeRows(this, [`row ${index}`])))
})

When('the object {string} is written', async function (this: PlatformWorld, key: string) {
  await this.platform.objects.writeObject(key, Buffer.from(key))
})

When('an object with a key of {int} characters is written', async function (this: PlatformWorld, length: number) {
  this.longKey = `answers/${'x'.repeat(length - 8)}`
  await this.platform.objects.writeObject(this.longKey, Buffer.from('here'))
})

Then('that object is there', async function (this: PlatformWorld) {
  assert.equal(Buffer.from((await this.platform.objects.readObject(this.longKey))!).toString(), 'here')
})

When('the object {string} is removed', async function (this: PlatformWorld, key: string) { await this.platform.objects.removeObject(key) })

When('host {string} is announced', async function (this: PlatformWorld, id: string) {
  await this.platform.hostList.announceEntry({ kind: 'gateway', id, zone: 'az-1', address: '10.0.0.1:7481', presence: 'live' })
})

When('host {string} is withdrawn', async function (this: PlatformWorld, id: string) { await this.platform.hostList.withdrawEntry(id) })

Then('the table says {string}', function (this: PlatformWorld, verdict: string) { assert.equal(this.outcome.verdict, verdict) })

Then('the table says {string} because of {string}', function (this: PlatformWorld, verdict: string, cause: string) {
  assert.deepEqual(this.outcome, { verdict, cause, conflicts: [] })
})

Then('the table says {string} because of {string} with row {string}',
  function (this: PlatformWorld, verdict: string, cause: string, key: string) {
    assert.ok(this.outcome.verdict === 'notApplied' && verdict === 'notApplied')
    assert.equal(this.outcome.cause, cause)
    assert.deepEqual(this.outcome.conflicts.map(row => [row.key, row.value]), [[key, 1]])
  })

Then('the table holds the rows {string}', async function (this: PlatformWorld, keys: string) {
  assert.deepEqual(await listKeys(this), splitNames(keys))
})

Then('in the end the table holds the rows {string}', async function (this: PlatformWorld, keys: string) {
  await new Promise(resolve => setTimeout(resolve, lateMs))
  await waitUntil(async () => (await listKeys(this)).join(', ') === keys)
})

Then('listing {string} after {string} with limit {int} gives {string}',
  async function (this: PlatformWorld, prefix: string, after: string, limit: number, keys: string) {
    const rows = await this.platform.table.listRows({ prefix, after, limit })
    assert.deepEqual(rows.map(row => row.key), splitNames(keys))
  })

Then('a transaction of {int} rows is refused', async function (this: PlatformWorld, count: number) {
  await assert.rejects(writeRows(this, Array.from({ length: count }, (_, index) => `row ${index}`)), /at most/)
  assert.deepEqual(await listKeys(this), [])
})

Then('a transaction of {int} bytes is refused', async function (this: PlatformWorld, bytes: number) {
  await assert.rejects(writeRows(this, ['a'], 'x'.repeat(bytes)), /at most/)
  assert.deepEqual(await listKeys(this), [])
})

Then('reading the table fails as unavailable', async function (this: PlatformWorld) {
  await checkUnavailable(this.platform.table.readRows(['a']))
  await checkUnavailable(this.platform.table.listRows({ prefix: '', after: '', limit: 1 }))
})

Then('some are turned away as unavailable, and the table holds just the others', async function (this: PlatformWorld) {
  const applied = this.outcomes.filter(outcome => outcome.verdict === 'applied')
  const refused = this.outcomes.filter(outcome => outcome.verdict === 'notApplied' && outcome.cause === 'unavailable')
  assert.ok(refused.length > 0)
  assert.equal(applied.length + refused.length, this.outcomes.length)
  assert.equal((await listKeys(this)).length, applied.length)
})

Then('the object {string} is there', async function (this: PlatformWorld, key: string) {
  assert.equal(Buffer.from((await this.platform.objects.readObject(key))!).toString(), key)
})

Then('the object {string} is not there', async function (this: PlatformWorld, key: string) {
  assert.equal(await this.platform.objects.readObject(key), undefined)
})

Then('reading and writing objects fails as unavailable', async function (this: PlatformWorld) {
  await checkUnavailable(this.platform.objects.readObject('a'))
  await checkUnavailable(this.platform.objects.writeObject('a', Buffer.from('a')))
  await checkUnavailable(this.platform.objects.removeObject('a'))
})

Then('the list shows {string}', async function (this: PlatformWorld, ids: string) {
  const entries = await this.platform.hostList.listEntries()
  assert.deepEqual(entries.map(entry => entry.id).sort(), splitNames(ids))
})

Then('reading the list fails as unavailable', async function (this: PlatformWorld) {
  await checkUnavailable(this.platform.hostList.listEntries())
})

Then('posting the switch {string} is refused', async function (this: PlatformWorld, name: string) {
  assert.equal(await this.setFault(name, true), false)
})
