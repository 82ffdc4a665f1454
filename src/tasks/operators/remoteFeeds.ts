/** Relays the live feeds of the other gateways to one watcher. */
import { Value } from '@sinclair/typebox/value'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import { decisionSchema } from '../../schemas/decision.js'
import type { GatewayEntry } from '../../schemas/hostList.js'
import { EventParser } from './eventParser.js'
import type { ServerEvent } from './eventParser.js'
import type { GatewayQueries } from './gatewayQueries.js'
import type { WatchRequest } from './liveFeed.js'
import type { WatchStream } from './watchStream.js'

const listIntervalMs = 2000

export interface RemoteFeedsOptions {
  clock: Clock
  gateways: GatewayQueries
  stream: WatchStream
  request: WatchRequest
}

export class RemoteFeeds {
  #options: RemoteFeedsOptions
  #open = new Set<string>()
  #abort = new AbortController()
  #repetition: Repetition | undefined

  constructor (options: RemoteFeedsOptions) {
    this.#options = options
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, listIntervalMs, async () => await this.#openMissing(), () => {})
  }

  stop (): void {
    this.#repetition?.stop()
    this.#abort.abort()
  }

  async #openMissing (): Promise<void> {
    for (const entry of await this.#options.gateways.listOthers()) {
      if (!this.#open.has(entry.id) && !this.#abort.signal.aborted) this.#readFeed(entry)
    }
  }

  /** Relays one gateway's feed until it ends; the list is then tried again. */
  async #readFeed (entry: GatewayEntry): Promise<void> {
    const { gateways, request, stream } = this.#options
    this.#open.add(entry.id)
    const parser = new EventParser()
    try {
      const path = `/api/watch?${new URLSearchParams({ ...request.filter, scope: 'local' })}`
      const feed = await gateways.openFeed(entry, path, request.authorization, this.#abort.signal)
      if (feed) stream.addHost(entry.id)
      for await (const chunk of feed ?? []) {
        for (const event of parser.receive(chunk)) receiveEvent(event, stream)
      }
    } catch {
      // The feed broke off; it is opened again with the next reading of the list.
    } finally {
      this.#open.delete(entry.id)
    }
  }
}

function receiveEvent (event: ServerEvent, stream: WatchStream): void {
  const value: unknown = JSON.parse(event.data)
  if (event.name === 'decision' && Value.Check(decisionSchema, value)) stream.receiveDecision(value)
  if (event.name === 'missed') stream.receiveMissed(Number((value as { count: unknown }).count) || 0)
}
