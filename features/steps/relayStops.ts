/** Steps of hosts that stop while they run transactions for others. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { pack } from 'msgpackr'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import type { HttpServer } from '../../src/adapters/httpServer/httpServer.js'
import { createHttpRelay, transactPath } from '../../src/adapters/relay/httpRelay.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { StoreEra } from '../../src/core/storeEra.js'
import type { Relay } from '../../src/ports/relay.js'
import type { Store, StoreOutcome } from '../../src/ports/store.js'
import { endRelay, startRelayServer } from '../../src/tasks/clusterView/relayServer.js'
import { findFreePort } from '../support/findFreePort.js'
import { waitUntil } from '../support/waitUntil.js'

interface RelayStopsWorld {
  stoppingRelay: { address: string, server: HttpServer, clients: Relay[], begun: number, outcomes: StoreOutcome[], stopMs: number, received: string } | undefined
}

Given('a relay whose store decides in {int} ms', async function (this: RelayStopsWorld, decisionMs: number) {
  const transact = async (): Promise<StoreOutcome> => {
    state.begun++
    await sleep(decisionMs, undefined, { ref: false })
    return { verdict: 'applied', version: 7 }
  }
  const address = `127.0.0.1:${await findFreePort()}`
  const server = await startRelayServer({
    address,
    clock: createSystemClock(),
    mirror: new RowMirror('relay', () => false, () => {}, (_row, error) => { throw error }),
    store: { transact } as unknown as Store,
    eras: new StoreEra(),
    getStoreAgeMs: () => 5,
    listTableAges: () => ({}),
    isStoreReachable: () => true
  })
  const state: NonNullable<RelayStopsWorld['stoppingRelay']> = { address, server, clients: [], begun: 0, outcomes: [], stopMs: NaN, received: '' }
  this.stoppingRelay = state
})

After(async function (this: RelayStopsWorld) {
  this.stoppingRelay?.server.close()
  await Promise.all((this.stoppingRelay?.clients ?? []).map(async client => await client.close()))
})

function openClient ({ stoppingRelay }: RelayStopsWorld): Relay {
  const client = createHttpRelay()
  stoppingRelay!.clients.push(client)
  return client
}

async function stopRelay ({ stoppingRelay }: RelayStopsWorld): Promise<void> {
  const startedAtMs = performance.now()
  await endRelay(stoppingRelay!.server)
  stoppingRelay!.stopMs = performance.now() - startedAtMs
}

When(/^(\d+) hosts? sends? it a transaction( and another one waits for updates)?, and it stops once the store has them$/, async function (this: RelayStopsWorld, count: string, waits: string | null) {
  const state = this.stoppingRelay!
  if (waits) {
    const reader = openClient(this)
    const { logId, position } = await reader.readUpdates(state.address, '', 0, 0)
    // The stop ends this call.
    reader.readUpdates(state.address, logId, position, 5000).catch(() => {})
  }
  const calls = Array.from({ length: Number(count) }, async () => await openClient(this).transact(state.address, { checks: [], writes: [], removals: [] }))
  await waitUntil(() => state.begun === Number(count))
  await stopRelay(this)
  state.outcomes = await Promise.all(calls)
})

When('a host sends it a transaction on a connection, and ends its side', async function (this: RelayStopsWorld) {
  const state = this.stoppingRelay!
  const body = pack({ checks: [], writes: [], removals: [] })
  const socket = connect({ host: '127.0.0.1', port: Number(state.address.split(':')[1]), allowHalfOpen: true })
  socket.setEncoding('latin1').on('data', text => { state.received += String(text) })
  socket.write(`POST ${transactPath} HTTP/1.1\r\nhost: relay\r\ncontent-length: ${body.length}\r\n\r\n`)
  socket.end(body)
  await once(socket, 'close')
})

Then('the connection has brought an answer with status {int}', function (this: RelayStopsWorld, status: number) {
  assert.equal(this.stoppingRelay!.received.split(' ')[1], String(status))
})

Then('each of these hosts learns that its transaction was applied', function (this: RelayStopsWorld) {
  const { outcomes } = this.stoppingRelay!
  assert.deepEqual(outcomes.map(({ verdict }) => verdict), outcomes.map(() => 'applied'))
})

Then('the host learns that its transaction may have been applied', function (this: RelayStopsWorld) {
  assert.deepEqual(this.stoppingRelay!.outcomes.map(({ verdict }) => verdict), ['unknown'])
})

Then('the relay has stopped within {int} ms', function (this: RelayStopsWorld, maxMs: number) {
  const { stopMs } = this.stoppingRelay!
  assert.ok(stopMs <= maxMs, `it took ${stopMs} ms`)
})
