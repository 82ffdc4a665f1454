/** Steps of answers to HTTP clients whose connection ends. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createHttpPlatform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { HttpServiceClient } from '../../src/adapters/httpService/httpServiceClient.js'
import { OpenaiEngine } from '../../src/adapters/openaiEngine/openaiEngine.js'
import { OperatorsClient } from '../../src/ctl/operatorsClient.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import type { GenerateEvent } from '../../src/ports/engine.js'
import { formatChunk } from '../../src/standin/fleet/endlessAnswer.js'
import { GatewayQueries } from '../../src/tasks/operators/gatewayQueries.js'
import { waitUntil } from '../support/waitUntil.js'

interface ClientsWorld {
  answersServer: Server
  answersSocket: Socket | undefined
  answersAddress: string
  formatBody: (bytes: string) => string
  firstBytes: string
  sentBytes: number
  uncaught: Error[]
  recordUncaught: (error: Error) => void
  closeClient: (() => unknown) | undefined
  /** Reads the rest of the feed, or waits for the answer, and tells its bytes. */
  countBytes: () => Promise<number>
}

interface Asked {
  /** Bytes of the answer that the client gives. */
  answer: Promise<number>
  close: () => unknown
}

/** Read at once, so that the reader stands still behind it. */
const firstPart = 1000
/** More than a body of undici holds, so that it pauses. */
const pausingPart = 70_000
const eventBytes = 1000
/** Lets what was written before arrive as a read of its own. */
const gapMs = 50

const heads: Readonly<Record<string, string>> = Object.freeze({
  'its connection': '',
  'its connection, which it closes': 'connection: close\r\n',
  'chunks, before a close': 'connection: close\r\ntransfer-encoding: chunked\r\n',
  chunks: 'transfer-encoding: chunked\r\n'
})

After(async function (this: Partial<ClientsWorld>) {
  await this.closeClient?.()
  this.answersSocket?.destroy()
  this.answersServer?.close()
  if (!this.recordUncaught) return
  await sleep(gapMs)
  process.off('uncaughtException', this.recordUncaught)
})

Given(/^a server of answers framed by (.+)$/, async function (this: ClientsWorld, framing: string) {
  const isChunked = framing.startsWith('chunks')
  this.formatBody = bytes => isChunked ? formatChunk(bytes) : bytes
  this.uncaught = []
  this.recordUncaught = error => { this.uncaught.push(error) }
  process.on('uncaughtException', this.recordUncaught)
  this.answersServer = createServer(socket => {
    this.answersSocket = socket.on('error', () => {})
    socket.once('data', () => socket.write(`HTTP/1.1 200 OK\r\n${heads[framing]!}\r\n${this.formatBody(this.firstBytes)}`))
  })
  await new Promise<void>(resolve => this.answersServer.listen(0, '127.0.0.1', resolve))
  this.answersAddress = `127.0.0.1:${(this.answersServer.address() as AddressInfo).port}`
})

async function endAnswer (world: ClientsWorld, parts: string[], ends: string): Promise<void> {
  await waitUntil(() => world.answersSocket !== undefined && world.answersSocket.bytesWritten >= firstPart)
  for (const part of parts) {
    await sleep(gapMs)
    world.answersSocket!.write(world.formatBody(part))
  }
  await sleep(gapMs)
  if (ends === 'resets') world.answersSocket!.resetAndDestroy()
  else world.answersSocket!.end()
  await sleep(gapMs * 2)
}

/** Opens a feed, and returns what reads the rest of it. */
async function openFeed (world: ClientsWorld, client: string): Promise<() => Promise<number>> {
  if (client === 'another gateway') {
    const queries = new GatewayQueries({ hostId: 'g1', hostList: { listEntries: async () => [] } as never })
    world.closeClient = async () => await queries.close()
    const feed = await queries.openFeed({ address: world.answersAddress } as never, '/api/watch', 'Bearer k', new AbortController().signal)
    return async () => {
      let bytes = 0
      for await (const chunk of feed!) bytes += chunk.length
      return bytes
    }
  }
  const events = new OperatorsClient({ address: world.answersAddress, key: 'k' } as never).openFeed('/api/watch', new AbortController().signal)
  await events.next()
  return async () => {
    let count = 1
    for await (const event of events) count += event.data === '' ? 0 : 1
    return count * eventBytes
  }
}

When(/^(another gateway|an operator's command) opens a feed of (\d+) bytes, reads no further, and the server (ends its side|resets)$/, async function (this: ClientsWorld, client: string, bytes: string, ends: string) {
  const formatEvents = (bytes: number): string => `event: x\ndata: ${'x'.repeat(eventBytes - 17)}\n\n`.repeat(bytes / eventBytes)
  this.firstBytes = formatEvents(firstPart)
  this.countBytes = await openFeed(this, client)
  this.sentBytes = Number(bytes)
  const lastPart = this.sentBytes - firstPart - pausingPart
  await endAnswer(this, [formatEvents(pausingPart), ...(lastPart > 0 ? [formatEvents(lastPart)] : [])], ends)
})

Then(/^(?:what it reads afterwards is|it gets) (whole|a failure), and nothing is thrown outside of a call of the client$/, async function (this: ClientsWorld, result: string) {
  const bytes = await this.countBytes().catch(() => 'a failure')
  assert.deepEqual(this.uncaught, [])
  assert.equal(bytes, result === 'whole' ? this.sentBytes : result)
})

const clients: Readonly<Record<string, (address: string) => Asked>> = Object.freeze({
  'a service\'s client': address => {
    const client = new HttpServiceClient()
    const call = { requestId: 'r1', attempt: 1, method: 'GET', path: '/', headers: {}, body: new Uint8Array() } as never
    const answer = client.call(address, call, new AbortController().signal).then(outcome => {
      if (outcome.type === 'failed') throw new Error(outcome.failure.message)
      return outcome.body.length
    })
    return { answer, close: async () => await client.close() }
  },
  'the object store\'s': address => {
    const platform = createHttpPlatform(address)
    return { answer: platform.objects.readObject('k').then(bytes => bytes!.length), close: async () => await platform.close() }
  },
  'a completion\'s client': address => {
    const engine = new OpenaiEngine()
    const answer = new Promise<number>((resolve, reject) => {
      let bytes = 0
      engine.generate(address, { requestId: 'r1', attempt: 1, path: '/v1/completions', body: '{}', handle: 'h', adapter: 'a', version: 1, isStream: false, priority: 1 } as never, (event: GenerateEvent) => {
        if (event.type === 'data') bytes += event.data.length
        if (event.type === 'end') resolve(bytes)
        if (event.type === 'failed') reject(new Error(event.failure.message))
      }, () => true)
    })
    return { answer, close: async () => await engine.close() }
  },
  'the store\'s client': address => {
    const store = createStoreClient(address)
    return { answer: store.readTable('op').then(() => firstPart + pausingPart), close: async () => await store.close() }
  }
})

When(/^(.+) asks, and the server (ends its side|resets) after 71000 bytes$/, async function (this: ClientsWorld, name: string, ends: string) {
  this.firstBytes = '{"rows":[],"ver":1}'.padEnd(firstPart)
  this.sentBytes = firstPart + pausingPart
  const asked = clients[name]!(this.answersAddress)
  this.closeClient = asked.close
  this.countBytes = async () => await asked.answer
  asked.answer.catch(() => {})
  await endAnswer(this, [' '.repeat(pausingPart)], ends)
})
