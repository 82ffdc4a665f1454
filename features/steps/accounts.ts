/** Steps of client accounts: keys of requests, on hosts of the stand-in platform and on one request without a network. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import type { DataTable } from '@cucumber/cucumber'
import { pack } from 'msgpackr'
import { encodeConfigurationRow } from '../../src/platform/standinWire.js'
import type { ClientAccount, RoutingConfiguration } from '../../src/schemas/routing.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { findMetricsPort } from '../../src/standin/fleet/hostSettings.js'
import { RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { createConfiguration, fleetPaths, plainService } from '../../src/standin/fleet/startFleet.js'
import { createReservationDetails } from '../../src/tasks/proxy/reservationDetails.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { hostsBasePort } from '../support/testPorts.js'
import { startWaitingRequest } from '../support/waitingRequest.js'
import type { WaitingRequest } from '../support/waitingRequest.js'
import { waitUntil } from '../support/waitUntil.js'

interface AccountsWorld extends HostsWorld {
  /** Answers to the requests that were sent last. */
  sent: RawAnswer[]
  connection: RawCaller
  waiting: WaitingRequest
  /** Messages between hosts, packed. */
  messages: string[]
}

const acme: ClientAccount = { name: 'acme', keys: ['key-acme'], rank: undefined, quota: undefined }
const globex: ClientAccount = { name: 'globex', keys: ['key-globex'], rank: 2, quota: undefined }
const kinds = Object.keys(fleetPaths) as CallKind[]
/** Header lines of requests that have no valid key. */
const invalidCredentials: Readonly<Record<string, readonly string[]>> = {
  'no key': [],
  'an empty key': ['Authorization: Bearer '],
  'an unknown key': ['Authorization: Bearer key-unknown'],
  'a key of 8 KB': [`Authorization: Bearer ${'k'.repeat(8192)}`],
  'two keys in two lines': ['Authorization: Bearer key-acme', 'authorization: Bearer key-globex'],
  'the same key in two lines': ['Authorization: Bearer key-acme', 'Authorization: Bearer key-acme'],
  'two keys in one line': ['Authorization: Bearer key-acme, Bearer key-globex'],
  'a key of another scheme': ['Authorization: Basic key-acme'],
  'the name of an account in place of one': ['Authorization: Bearer acme', 'Tenant: acme']
}

async function startWithAccounts (world: AccountsWorld, hosts: number): Promise<void> {
  world.hostFleet = await HostFleet.start(hosts, { engines: 1, accounts: [acme, globex] })
  world.answers = []
  world.messages = []
  world.hostFleet.isLost = message => {
    world.messages.push(Buffer.from(pack(message)).toString('latin1'))
    return false
  }
}

async function waitForConfiguration ({ hostFleet }: HostsWorld, version: number): Promise<void> {
  await waitUntil(() => hostFleet.listLines('configuration.applied').filter(({ fields }) => fields.version === version).length >= hostFleet.hosts.length)
}

async function applyAccounts (world: HostsWorld, accounts: RoutingConfiguration['accounts'], isPublic = false): Promise<void> {
  const { fleet } = world.hostFleet
  fleet.accounts = accounts
  await waitForConfiguration(world, fleet.writeConfiguration({ routes: fleet.defaultRoutes.map(route => ({ ...route, isPublic })) }))
}

/** Sends a request of each kind to the first host, each on a connection of its own. */
async function sendAll (world: AccountsWorld, headerLines: readonly string[]): Promise<void> {
  world.sent = await sendToHost(world.hostFleet.hosts[0]!.settings.callersAddress, headerLines)
}

async function sendToHost (callersAddress: string, headerLines: readonly string[]): Promise<RawAnswer[]> {
  return await Promise.all(kinds.map(async kind => {
    const caller = await RawCaller.open(callersAddress)
    const [answer] = await caller.send([{ kind, headerLines, adapter: 'a1' }])
    caller.close()
    return answer!
  }))
}

/** Values of the headers with a name, as endpoints got them with the requests that were sent last, without repetitions. */
function listReceived ({ hostFleet, sent }: AccountsWorld, name: string): string[] {
  const arrivals = hostFleet.fleet.journal.arrivals.filter(({ requestId }) => sent.some(answer => answer.requestId === requestId))
  assert.ok(arrivals.length >= kinds.length, `${arrivals.length} requests arrived`)
  return [...new Set(arrivals.map(({ rawHeaders }) => JSON.stringify(rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name))))]
}

function checkWhole ({ sent }: AccountsWorld): void {
  for (const answer of sent) assert.ok(isWhole(answer), `${answer.kind}: ${answer.status} ${answer.error} ${answer.body}`)
}

function checkWithoutKeys (text: string, place: string): void {
  assert.doesNotMatch(text, /key-(acme|globex|unknown)/, place)
}

function findHeaders (waiting: WaitingRequest): Map<string, string> {
  const { headers } = waiting.listSent()[0]!
  return new Map(headers.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), headers[index + 1]!]] : []))
}

Given(/^(\d+) hosts? before a platform with accounts( whose routes are public)?$/, async function (this: AccountsWorld, hosts: string, isPublic: string | null) {
  await startWithAccounts(this, Number(hosts))
  if (isPublic !== null) await applyAccounts(this, [acme, globex], true)
})

Given('accounts are configured', async function (this: AccountsWorld) {
  await applyAccounts(this, [acme, globex])
})

Given('its plain services have no endpoint that is ready', async function (this: AccountsWorld) {
  const { fleet } = this.hostFleet
  const services = fleet.endpoints.filter(({ service }) => service === plainService)
  for (const endpoint of services) fleet.drain(endpoint)
  await waitUntil(() => services.every(({ id }) => this.hostFleet.listLines('endpoint.changed').some(({ fields }) => fields.endpointId === id && fields.isLeaving === true)))
})

When(/^requests of all kinds are sent with (no key|an? (?!key of account).+|two .+|the (?!key of).+)$/, async function (this: AccountsWorld, credentials: string) {
  await sendAll(this, invalidCredentials[credentials]!)
})

When(/^requests of all kinds are sent with the key of account "(\w+)" and headers (.+)$/, async function (this: AccountsWorld, account: string, headers: string) {
  await sendAll(this, [`Authorization: Bearer key-${account}`, ...(headers === 'none' ? [] : headers.split(' | '))])
})

When('requests of all kinds are sent to each host with the key of account {string}', async function (this: AccountsWorld, account: string) {
  const answers = await Promise.all(this.hostFleet.hosts.map(async ({ settings }) => await sendToHost(settings.callersAddress, [`Authorization: Bearer key-${account}`])))
  this.sent = answers.flat()
})

Then('they are refused with 401 and code {string} within {int} ms, and no endpoint saw them', function (this: AccountsWorld, code: string, ms: number) {
  for (const { status, body, tookMs, kind } of this.sent) {
    assert.deepEqual([status, (JSON.parse(body) as { error: string }).error], [401, code], kind)
    assert.ok(tookMs < ms, `${kind}: ${tookMs} ms`)
  }
  assert.equal(this.hostFleet.fleet.journal.arrivals.filter(({ requestId }) => this.sent.some(answer => answer.requestId === requestId)).length, 0)
})

Then('each is answered, and the endpoint saw account {string} alone and no key', function (this: AccountsWorld, account: string) {
  checkWhole(this)
  assert.deepEqual([listReceived(this, 'tenant'), listReceived(this, 'authorization')], [[`["${account}"]`], ['[]']])
  for (const { rawHeaders } of this.hostFleet.fleet.journal.arrivals) checkWithoutKeys(rawHeaders.join('\n'), 'the headers that an endpoint got')
})

Then('each is answered, and the endpoint saw no account and no key', function (this: AccountsWorld) {
  checkWhole(this)
  assert.deepEqual([listReceived(this, 'tenant'), listReceived(this, 'authorization')], [['[]'], ['[]']])
})

Then('each is answered, and the endpoint saw the key and account {string}', function (this: AccountsWorld, account: string) {
  checkWhole(this)
  assert.deepEqual([listReceived(this, 'tenant'), listReceived(this, 'authorization')], [[`["${account}"]`], ['["Bearer key-acme"]']])
})

When(/^(?:a|the same) connection sends a request with "(.+)" and another with "(.+)"$/, async function (this: AccountsWorld, first: string, second: string) {
  this.connection ??= await RawCaller.open(this.hostFleet.hosts[0]!.settings.callersAddress)
  for (const key of [first, second]) this.answers.push(...await this.connection.send([{ kind: 'once', headerLines: [`Authorization: Bearer ${key}`] }]))
})

When('account {string} has keys {string} in place of its own', async function (this: AccountsWorld, _account: string, key: string) {
  await applyAccounts(this, [{ ...acme, keys: [key] }, globex])
})

When('account {string} is removed', async function (this: AccountsWorld, _account: string) {
  await applyAccounts(this, [globex])
})

Then('its answers have status {}', function (this: AccountsWorld, statuses: string) {
  assert.equal(this.answers.map(({ status }) => status).join(', '), statuses)
  this.connection.close()
})

When('a request with {string} waits, and account {string} is removed', async function (this: AccountsWorld, key: string, _account: string) {
  const caller = await RawCaller.open(this.hostFleet.hosts[0]!.settings.callersAddress)
  const answers = caller.send([{ kind: 'once', headerLines: [`Authorization: Bearer ${key}`] }])
  await sleep(50)
  await applyAccounts(this, [globex])
  this.sent = await answers
  caller.close()
})

Then('it is refused with 401 while it waits, and no endpoint saw it', function (this: AccountsWorld) {
  const [answer] = this.sent
  // Without the removal it would be refused with 503 after a wait of 450 ms.
  assert.deepEqual([answer!.status, this.hostFleet.fleet.journal.arrivals.length], [401, 0])
  assert.ok(answer!.tookMs < 450, `${answer!.tookMs} ms`)
})

Given('a request of account {string} that waits for a reservation', async function (this: AccountsWorld, _account: string) {
  this.waiting = await startWaitingRequest({ accounts: [acme], changes: { apiKey: 'key-acme' } })
})

Given('a request of account {string} of rank {int} that waits for a reservation', async function (this: AccountsWorld, _account: string, rank: number) {
  this.waiting = await startWaitingRequest({ accounts: [{ ...acme, rank }], changes: { apiKey: 'key-acme' } })
})

Given('a request with the key of account {string} that waits for a reservation, and no accounts', async function (this: AccountsWorld, _account: string) {
  this.waiting = await startWaitingRequest({ changes: { apiKey: 'key-acme', headers: ['Authorization', 'Bearer key-acme', 'Tenant', 'globex'] } })
})

Given('a request of account {string} at a host that reaches no endpoint', async function (this: AccountsWorld, _account: string) {
  this.waiting = await startWaitingRequest({ accounts: [acme], isStranded: true, changes: { apiKey: 'key-acme', headers: ['Authorization', 'Bearer key-acme', 'Tenant', 'globex'] } })
})

Given(/^a request that another host has sent for account "acme", which it (.+)$/, async function (this: AccountsWorld, knows: string) {
  const accounts = knows === 'cannot know, without accounts' ? undefined : knows === 'does not know yet' ? [globex] : [acme, globex]
  this.waiting = await startWaitingRequest({ ...(accounts && { accounts }), changes: { forwarded: { attemptedEndpointIds: [], runs: 0, account: 'acme' }, headers: ['Tenant', 'acme'] } })
  if (knows === 'knows until it is removed') this.waiting.changeAccounts([globex])
})

Then('its reservation is requested with rank {int} for account {string}', function (this: AccountsWorld, rank: number, account: string) {
  const details = createReservationDetails(this.waiting.getLastQuery(), { id: 'i-1' } as never, 0, true, 0)
  assert.deepEqual([details.rank, details.account], [rank, account])
})

When('account {string} gets another key', function (this: AccountsWorld, _account: string) {
  this.waiting.changeAccounts([{ ...acme, keys: ['key-later'] }])
})

When('the accounts are configured', function (this: AccountsWorld) {
  this.waiting.changeAccounts([acme, globex])
})

When('it is passed to the connection of an endpoint', async function (this: AccountsWorld) {
  await this.waiting.send()
})

When('it is sent to an endpoint', async function (this: AccountsWorld) {
  await this.waiting.send()
  assert.equal(this.waiting.openConnection(), true)
})

Then('the request is refused with 401 and not sent', async function (this: AccountsWorld) {
  assert.equal(this.waiting.readStatus(), 401)
  await this.waiting.send()
  assert.equal(this.waiting.read().sends, 0)
})

Then('the request is refused with 401 and withdrawn', function (this: AccountsWorld) {
  assert.deepEqual([this.waiting.readStatus(), this.waiting.read().cancels], [401, 1])
})

Then('the request has no answer yet and is not withdrawn', function (this: AccountsWorld) {
  assert.deepEqual([this.waiting.readStatus(), this.waiting.read().cancels], [0, 0])
})

Then('the endpoint gets account {string} and no key', function (this: AccountsWorld, account: string) {
  const headers = findHeaders(this.waiting)
  assert.deepEqual([headers.get('tenant'), headers.has('authorization')], [account, false])
  assert.equal(this.waiting.openConnection(), true)
})

Then('it is not written to that connection', function (this: AccountsWorld) {
  assert.equal(this.waiting.openConnection(), false)
})

Then('another host gets it for account {string} without its key', function (this: AccountsWorld, account: string) {
  const headers = findHeaders(this.waiting)
  checkWithoutKeys(JSON.stringify([...headers]), 'the headers that another host gets')
  assert.equal((JSON.parse(decodeURIComponent(headers.get('sedgevalve-forwarding')!)) as { account: string }).account, account)
})

Then('the request is served for account {string}', async function (this: AccountsWorld, account: string) {
  await this.waiting.send()
  assert.deepEqual([this.waiting.getLastQuery().account, findHeaders(this.waiting).get('tenant')], [account, account])
})

Then('the request is refused with {int}', function (this: AccountsWorld, status: number) {
  assert.equal(this.waiting.readStatus(), status)
})

Then('they were sent through another host', function (this: AccountsWorld) {
  const ids = new Set(this.sent.map(({ requestId }) => requestId))
  assert.equal(this.hostFleet.listLines('request.served').filter(({ fields }) => ids.has(fields.requestId as string) && Array.isArray(fields.via)).length, kinds.length)
})

When('configurations are written that cannot be read', async function (this: AccountsWorld) {
  const { table, key, value } = encodeConfigurationRow({ ...createConfiguration(1, 4), accounts: [acme] })
  const text = Buffer.from(value).toString()
  const texts = [text.slice(0, -1), '{"tenants":["key-acme"]}', '{"tenant\\u0073":[{"apiKeys":["key-acme"]}]}']
  for (const written of texts) {
    this.hostFleet.fleet.rows.write({ table, key, value: Buffer.from(written) })
    await sleep(100)
  }
  await waitUntil(() => this.hostFleet.listLines('news.unreadable').length >= texts.length * this.hostFleet.hosts.length)
})

Then('no key is in any line, message, row or metric', async function (this: AccountsWorld) {
  const { hosts, fleet } = this.hostFleet
  checkWithoutKeys(this.hostFleet.formatLines(), 'a line')
  // One of the hosts does not own the engine, and asks the other for it.
  assert.ok(this.messages.some(message => message.includes('acme')), `${this.messages.length} messages, none of a request`)
  checkWithoutKeys(this.messages.join('\n'), 'a message between hosts')
  for (const table of ['hosts', 'streams', 'servers']) checkWithoutKeys(fleet.rows.listRows(table).map(({ key, value }) => `${key} ${Buffer.from(value ?? []).toString('latin1')}`).join('\n'), `a row of ${table}`)
  for (const { settings } of hosts) {
    const metrics = await (await fetch(`http://${settings.address}:${findMetricsPort(hostsBasePort)}/metrics`)).text()
    assert.match(metrics, /sedgevalve/)
    checkWithoutKeys(metrics, 'a metric')
  }
})

Then('the lines of answered requests name account {string}', function (this: AccountsWorld, account: string) {
  const lines = this.hostFleet.listLines('request.served')
  assert.ok(lines.length >= kinds.length)
  for (const { fields } of lines) assert.equal(fields.account, account)
})

When('the configuration has no accounts any more', async function (this: AccountsWorld) {
  await applyAccounts(this, undefined)
})

When('a host starts, and a request with an unknown key is sent to it', async function (this: AccountsWorld) {
  const host = this.hostFleet.hosts[0]!
  await this.hostFleet.startHost(host)
  const caller = await RawCaller.open(host.settings.callersAddress)
  this.sent = await caller.send([{ kind: 'once', headerLines: ['Authorization: Bearer key-unknown'] }])
  caller.close()
})

Then('it is refused with {int}', function (this: AccountsWorld, status: number) {
  assert.equal(this.sent[0]!.status, status)
})

/** Text of the entries that a row of the table of configurations describes. */
function createEntries (description: string): string {
  if (!description.startsWith('5000 ')) return description
  return JSON.stringify([{ name: 'acme', apiKeys: ['key-acme'] }, ...Array.from({ length: 4999 }, (_, index) => ({ name: index % 2 === 0 ? `account-${index + 1}` : 7, apiKeys: [`key-of-account-${index + 1}`] }))])
}

Then('each of these configurations leaves the host with the keys that it states, and the number of lines:', { timeout: 30_000 }, async function (this: AccountsWorld, table: DataTable) {
  const { fleet, hosts } = this.hostFleet
  const caller = await RawCaller.open(hosts[0]!.settings.callersAddress)
  for (const [index, { accounts, valid, invalid, lines }] of table.hashes().entries()) {
    const version = 1000 + index
    const { table: rowTable, key, value } = encodeConfigurationRow(createConfiguration(version, 4))
    const text = Buffer.from(value).toString()
    fleet.rows.write({ table: rowTable, key, value: Buffer.from(`${text.slice(0, -1)},"tenants":${createEntries(accounts!)}}`) })
    await waitForConfiguration(this, version)
    for (const [apiKey, status] of [[valid!, 200], [invalid!, 401]] as const) {
      if (apiKey === '') continue
      const [answer] = await caller.send([{ kind: 'once', headerLines: [`Authorization: Bearer ${apiKey}`] }])
      assert.equal(answer!.status, status, `${apiKey} with ${accounts}`)
    }
    assert.equal(this.hostFleet.listLines('configuration.accountInvalid').filter(({ fields }) => fields.version === version).length, Number(lines), accounts)
  }
  caller.close()
})
