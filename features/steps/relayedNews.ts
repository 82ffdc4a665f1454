import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import type { HttpServer } from '../../src/adapters/httpServer/httpServer.js'
import { createHttpRelay } from '../../src/adapters/relay/httpRelay.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import type { RelayedNews } from '../../src/ports/relay.js'
import type { Store } from '../../src/ports/store.js'
import { startRelayServer } from '../../src/tasks/news/relayServer.js'
import { startByteCounter } from '../support/byteCounter.js'
import type { ByteCounter } from '../support/byteCounter.js'

interface NewsWorld {
  written: Buffer
  relayServer: HttpServer | undefined
  counter: ByteCounter | undefined
  read: RelayedNews[]
}

const relayAddress = `127.0.0.1:${19_000 + process.pid % 900}`

After(async function (this: NewsWorld) {
  this.relayServer?.close()
  await this.counter?.stop()
})

Given('a host that relays a configuration of {int} bytes', async function (this: NewsWorld, bytes: number) {
  const routes = Array.from({ length: Math.ceil(bytes / 60) }, (_, index) => ({ name: `route-${index}`, prefix: `/county/${index * 7919}/` }))
  this.written = Buffer.from(JSON.stringify(routes).slice(0, bytes))
  const mirror = new RowMirror('relay', () => false, () => {})
  mirror.applyTable('op', [{ table: 'op', key: 'routes', version: 3, value: this.written }], 3)
  const unusedStore = {} as Store
  this.relayServer = await startRelayServer({
    address: relayAddress, clock: createSystemClock(), mirror, store: unusedStore, readStoreAgeMs: () => 5, reachesStore: () => true
  })
  this.counter = await startByteCounter(relayAddress)
})

When('{int} follower(s) read(s) its news', async function (this: NewsWorld, count: number) {
  const relays = Array.from({ length: count }, createHttpRelay)
  this.read = await Promise.all(relays.map(async relay => await relay.readNews(this.counter!.address, '', 0, 100)))
  await Promise.all(relays.map(async relay => await relay.close()))
})

Then('each follower has the configuration as it was written', function (this: NewsWorld) {
  for (const { rows, isWhole, versions } of this.read) {
    assert.ok(isWhole)
    assert.deepEqual(versions, { op: 3 })
    assert.deepEqual(rows.map(({ key, version, value }) => [key, version, Buffer.from(value!).toString()]), [['routes', 3, this.written.toString()]])
  }
})

Then('at most {int} bytes crossed for each of them', function (this: NewsWorld, most: number) {
  const each = this.counter!.bytes / this.read.length
  assert.ok(each <= most, `${each} bytes`)
})
