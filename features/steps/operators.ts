/** Steps of the operators' port. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { RequestTimeline } from '../../src/schemas/operatorMessage.js'
import type { SystemStatus } from '../../src/tasks/operators/statusRoutes.js'
import { hashKey } from '../../src/tasks/gateway/callerAccess.js'
import { exampleCallerKey, exampleOperatorKey } from '../../src/bin/exampleRecords.js'
import { getSession } from '../support/operatorSession.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

When('an operator reads {string}', async function (this: SystemWorld, path: string) {
  await getSession(this).send('GET', path, exampleOperatorKey)
})

When('a stranger reads {string} of the operators\' port', async function (this: SystemWorld, path: string) {
  await getSession(this).send('GET', path, '')
})

When('somebody sends {word} {string} with key {string} to the operators\' port',
  async function (this: SystemWorld, method: string, path: string, key: string) {
    await getSession(this).send(method, path, key)
  })

When('an operator reads {string} until it shows {int} endpoints', async function (this: SystemWorld, path: string, count: number) {
  const session = getSession(this)
  await waitUntil(async () => {
    const status = await session.send('GET', path, exampleOperatorKey) as SystemStatus
    return status.schedulers.flatMap(scheduler => scheduler.endpoints).filter(endpoint => endpoint.isReady).length === count
  })
})

Then('the status names gateways {string} and {string}', async function (this: SystemWorld, first: string, second: string) {
  const session = getSession(this)
  await waitUntil(async () => {
    const status = await session.send('GET', '/api/status', exampleOperatorKey) as SystemStatus
    return status.gateways.includes(first) && status.gateways.includes(second)
  })
})

When('an operator explains the request on gateway {int}', async function (this: SystemWorld, gateway: number) {
  const session = getSession(this)
  const requestId = this.answer!.headers.get('sedgevalve-request-id')
  await waitUntil(async () => {
    const story = await session.send('GET', `/api/explain/${requestId}`, exampleOperatorKey, gateway) as RequestTimeline
    return session.status === 200 && story.outcome === 'answered'
  })
})

When('an operator reads the story of the refused request on gateway {int}', async function (this: SystemWorld, gateway: number) {
  const session = getSession(this)
  const requestId = this.answer!.headers.get('sedgevalve-request-id')
  await waitUntil(async () => {
    const story = await session.send('GET', `/api/explain/${requestId}`, exampleOperatorKey, gateway) as RequestTimeline
    return session.status === 200 && story.outcome === 'refused'
  })
})

Then(/^the story's admission says "(.*)"$/, function (this: SystemWorld, text: string) {
  const { admission } = getSession(this).body as RequestTimeline
  assert.ok(admission.includes(text), admission)
})

Then('the story says {string}, class {string} and version {string}',
  function (this: SystemWorld, outcome: string, className: string, version: string) {
    const story = getSession(this).body as RequestTimeline
    assert.deepEqual([story.outcome, story.className, story.version], [outcome, className, version])
    assert.match(story.admission, /first token within/)
  })

Then('attempt {int} of the story has an endpoint, a handle and verdict {string}',
  function (this: SystemWorld, number: number, verdict: string) {
    const attempt = (getSession(this).body as RequestTimeline).attempts.find(candidate => candidate.attempt === number)!
    assert.equal(attempt.endpointId, this.answer!.headers.get('sedgevalve-endpoint'))
    assert.match(attempt.handle ?? '', /^cluj-tax@2#/)
    assert.equal(attempt.verdict, verdict)
  })

Given('the scheduler has gone', async function (this: SystemWorld) {
  await this.playground!.schedulers.pop()!.stop()
})

Then('attempt {int} of the story tells a wait for {string}', function (this: SystemWorld, number: number, cause: string) {
  const attempt = (getSession(this).body as RequestTimeline).attempts.find(candidate => candidate.attempt === number)!
  assert.ok(attempt.waits.some(wait => wait.cause === cause), JSON.stringify(attempt.waits))
  assert.equal(attempt.host, undefined, 'the scheduler has given no answer')
})

Then('the story names a load as a turn', function (this: SystemWorld) {
  const story = getSession(this).body as RequestTimeline
  assert.ok(story.turns.some(turn => turn.startsWith('load on "engine-')), story.turns.join('; '))
})

Then('the operators\' answer has status {int}', function (this: SystemWorld, status: number) {
  assert.equal(getSession(this).status, status, getSession(this).text)
})

Then('the operators\' answer has status {int} and code {string}', function (this: SystemWorld, status: number, code: string) {
  const session = getSession(this)
  assert.equal(session.status, status, session.text)
  assert.equal((session.body as { error: { code: string } }).error.code, code)
})

Then('the operators\' port has counted {int} bad input {string}', async function (this: SystemWorld, count: number, code: string) {
  const dump = await getSession(this).send('GET', '/api/dump/gateway-1', exampleOperatorKey) as { badInput: Record<string, number> }
  assert.equal(dump.badInput[code], count)
})

Given('an operator watches {string} on gateway {int}', async function (this: SystemWorld, filter: string, gateway: number) {
  await getSession(this).openFeed(filter, gateway)
})

Then('the feed shows decisions {string} of the request', async function (this: SystemWorld, kinds: string) {
  const session = getSession(this)
  const requestId = this.answer!.headers.get('sedgevalve-request-id')!
  for (const kind of kinds.split(', ')) {
    await waitUntil(async () => session.lastFeed.some(decision => decision.kind === kind && decision.requestId === requestId))
  }
})

Then('the feed shows decisions of hosts {string} and {string}', function (this: SystemWorld, first: string, second: string) {
  const hosts = new Set(getSession(this).lastFeed.map(decision => decision.host))
  assert.ok(hosts.has(first) && hosts.has(second), [...hosts].join(', '))
})

Then('the first feed has shown nothing', function (this: SystemWorld) {
  assert.deepEqual(getSession(this).feeds[0], [])
})

Then('the dump has role {string} and none of the keys', function (this: SystemWorld, role: string) {
  const session = getSession(this)
  assert.equal((session.body as { role: string }).role, role, session.text)
  for (const secret of ['playground-peer-key', exampleCallerKey, exampleOperatorKey, hashKey(exampleCallerKey), hashKey(exampleOperatorKey)]) {
    assert.ok(!session.text.includes(secret), `the dump holds "${secret}"`)
  }
})

Then('the page comes with a policy that allows its own script alone', function (this: SystemWorld) {
  const session = getSession(this)
  assert.equal(session.status, 200)
  assert.match(session.headers!.get('content-security-policy') ?? '', /default-src 'none'; script-src 'sha256-/)
  assert.ok(!/innerHTML|insertAdjacentHTML|document\.write/.test(session.text), 'the page takes text for markup')
  assert.ok(!/(?:src|href)=["']?(?:https?:)?\/\//.test(session.text), 'the page names another host')
})

When(/^an operator posts (.*) as "(.*)" to "(.*)"$/, async function (this: SystemWorld, text: string, type: string, path: string) {
  const body = text === '17 MiB' ? 'x'.repeat(17 * 1024 * 1024) : text
  await getSession(this).send('POST', path, exampleOperatorKey, 1, { body, type })
})

Then('the operators\' answer does not hold {string}', function (this: SystemWorld, text: string) {
  assert.ok(!getSession(this).text.includes(text), getSession(this).text)
})

Then('host {string} has counted bad input {string}', async function (this: SystemWorld, host: string, code: string) {
  const session = getSession(this)
  await waitUntil(async () => {
    const dump = await session.send('GET', `/api/dump/${host}`, exampleOperatorKey) as { badInput?: Record<string, number> }
    return (dump.badInput?.[code] ?? 0) > 0
  })
})
