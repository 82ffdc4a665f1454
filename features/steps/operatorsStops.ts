/** Steps of requests on the operators' port of a gateway that stops. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import type { ConfigurationOperations } from '../../src/tasks/configuration/configurationChange.js'
import { DecisionStore } from '../../src/tasks/decisions/decisionStore.js'
import { hashKey } from '../../src/tasks/gateway/callerAccess.js'
import { BadInputCounter } from '../../src/tasks/metrics/badInputCounter.js'
import { OperatorsTask } from '../../src/tasks/operators/operatorsTask.js'
import type { OperatorsTaskOptions } from '../../src/tasks/operators/operatorsTask.js'
import { waitUntil } from '../support/waitUntil.js'
import { readAnswers } from './gatewayStops.js'

interface OperatorsStopsWorld {
  stoppedPort: {
    task: OperatorsTask
    decisions: DecisionStore
    begun: number
    made: number
    received: string
    stopMs: number
    sockets: Socket[]
  } | undefined
}

const key = 'the key of a test'
const head = `host: operators\r\nauthorization: Bearer ${key}\r\n`
const changeBody = JSON.stringify({ puts: [], removes: [], ifVersions: [] })
const change = `POST /api/changes HTTP/1.1\r\n${head}content-type: application/json\r\ncontent-length: ${changeBody.length}\r\n\r\n${changeBody}`
const watch = `GET /api/watch?scope=local HTTP/1.1\r\n${head}\r\n`
/** More than both ends of a connection on the loopback hold, at 10 KB a decision. */
const floodDecisions = 2000

Given('an operators\' port whose changes take {int} ms', async function (this: OperatorsStopsWorld, changeMs: number) {
  const clock = createSystemClock()
  const decisions = new DecisionStore({ hostId: 'gateway-1', clock })
  const changeRecords = async (): ReturnType<ConfigurationOperations['changeRecords']> => {
    port.begun++
    await sleep(changeMs, undefined, { ref: false })
    port.made++
    return { type: 'accepted', version: port.made }
  }
  const task = new OperatorsTask({
    hostId: 'gateway-1',
    zone: 'a',
    clock,
    decisions,
    operations: { changeRecords },
    operators: { address: '127.0.0.1', port: 0, keyHash: hashKey(key) },
    badInput: new BadInputCounter(() => {})
  } as unknown as OperatorsTaskOptions)
  const port: NonNullable<OperatorsStopsWorld['stoppedPort']> = { task, decisions, begun: 0, made: 0, received: '', stopMs: NaN, sockets: [] }
  this.stoppedPort = port
  await task.start()
})

After(function (this: OperatorsStopsWorld) {
  for (const socket of this.stoppedPort?.sockets ?? []) socket.destroy()
})

function openConnection ({ stoppedPort }: OperatorsStopsWorld, bytes: string): Socket {
  const port = stoppedPort!
  const socket = connect({ host: '127.0.0.1', port: port.task.port, allowHalfOpen: true })
  port.sockets.push(socket)
  socket.on('error', () => {}).on('end', () => socket.end()).write(bytes)
  return socket
}

function readReceived ({ stoppedPort }: OperatorsStopsWorld, socket: Socket): Socket {
  return socket.setEncoding('latin1').on('data', text => { stoppedPort!.received += String(text) })
}

async function stopPort ({ stoppedPort }: OperatorsStopsWorld): Promise<void> {
  const startedAtMs = performance.now()
  await stoppedPort!.task.stop()
  stoppedPort!.stopMs = performance.now() - startedAtMs
}

function listStatuses ({ stoppedPort }: OperatorsStopsWorld): number[] {
  return readAnswers(stoppedPort!.received).filter(({ isWhole }) => isWhole).map(({ status }) => status)
}

When(/^an operator sends (\d+) changes? on a connection, and the port stops once the first one is being made$/, { timeout: 30_000 }, async function (this: OperatorsStopsWorld, count: string) {
  const socket = readReceived(this, openConnection(this, change.repeat(Number(count))))
  const closed = once(socket, 'close')
  await waitUntil(() => this.stoppedPort!.begun > 0)
  await stopPort(this)
  await closed
})

When('an operator watches, sends 1 change behind it, and the port stops', { timeout: 30_000 }, async function (this: OperatorsStopsWorld) {
  const socket = readReceived(this, openConnection(this, watch))
  const closed = once(socket, 'close')
  await waitUntil(() => this.stoppedPort!.received.includes('event: hosts'))
  socket.write(change)
  await sleep(100)
  await stopPort(this)
  await closed
})

When('an operator sends 1 change on a connection and ends its side', { timeout: 30_000 }, async function (this: OperatorsStopsWorld) {
  const socket = readReceived(this, openConnection(this, change))
  socket.end()
  await once(socket, 'close')
  await stopPort(this)
})

When('an operator watches and ends its side', async function (this: OperatorsStopsWorld) {
  const socket = readReceived(this, openConnection(this, watch))
  await waitUntil(() => this.stoppedPort!.task.describeState().watchers === 1)
  socket.end()
})

Then('nobody watches within {int} ms', async function (this: OperatorsStopsWorld, maxMs: number) {
  const startedAtMs = performance.now()
  await waitUntil(() => this.stoppedPort!.task.describeState().watchers === 0)
  const elapsedMs = performance.now() - startedAtMs
  await stopPort(this)
  assert.ok(elapsedMs <= maxMs, `somebody watched for ${elapsedMs} ms`)
})

When('an operator watches without reading, more is sent than its connection holds, and the port stops', { timeout: 30_000 }, async function (this: OperatorsStopsWorld) {
  openConnection(this, watch).pause()
  await waitUntil(() => this.stoppedPort!.task.describeState().watchers === 1)
  for (let sent = 0; sent < floodDecisions; sent++) {
    this.stoppedPort!.decisions.record({ kind: 'configuration', considered: [], chosen: 'x'.repeat(10_000), reason: '', waits: [] })
    if (sent % 10 === 0) await new Promise(resolve => setImmediate(resolve))
  }
  await stopPort(this)
})

Then(/^the connection has (\d+) whole answers?, the first one with status (\d+)$/, function (this: OperatorsStopsWorld, count: string, status: string) {
  const statuses = listStatuses(this)
  assert.deepEqual([statuses.length, statuses[0]], [Number(count), Number(status)], this.stoppedPort!.received)
})

Then(/^as many changes were made as answers( after the first)? have status 200$/, function (this: OperatorsStopsWorld, after: string | null) {
  const statuses = listStatuses(this).slice(after ? 1 : 0)
  assert.equal(this.stoppedPort!.made, statuses.filter(status => status === 200).length, statuses.join())
})

Then('the stop has taken at most {int} ms', function (this: OperatorsStopsWorld, maxMs: number) {
  const { stopMs } = this.stoppedPort!
  assert.ok(stopMs <= maxMs, `it took ${stopMs} ms`)
})
