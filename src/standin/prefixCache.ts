/** The prompt prefixes that a stand-in engine remembers, and the events that it publishes about them. */
import type { Clock } from '../ports/clock.js'

export interface PrefixCacheOptions {
  clock: Clock
  /** Blocks that fit; 0 switches the cache off. */
  maxBlocks: number
  /** Events show this long after they happened, in milliseconds. */
  eventLagMs: number
  /** Every event whose sequence number divides by this is lost; 0 loses none. */
  loseEveryNthEvent: number
}

/** Sequence numbers rise by one, so that a reader sees a gap. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'removed' | 'cleared'
  block: string
}

interface PendingEvent {
  event: CacheEvent
  shownAtMs: number
}

const maxKeptEvents = 10_000

/** Keeps the blocks that were used last; a block's name stands for it and all blocks before it. */
export class PrefixCache {
  #options: PrefixCacheOptions
  /** In order of use, oldest first. */
  #blocks = new Set<string>()
  #events: PendingEvent[] = []
  #sequence = 0

  constructor (options: PrefixCacheOptions) {
    this.#options = options
  }

  /** Counts the leading blocks that are in the cache, and keeps all of them from now on. */
  useBlocks (blocks: readonly string[]): number {
    const firstMiss = blocks.findIndex(block => !this.#blocks.has(block))
    for (const block of blocks) this.#keepBlock(block)
    return firstMiss < 0 ? blocks.length : firstMiss
  }

  clear (): void {
    this.#blocks.clear()
    this.#publish('cleared', '')
  }

  /** Lists the events after a sequence number that show by now. */
  listEvents (after: number): CacheEvent[] {
    const nowMs = this.#options.clock.readMonotonic()
    return this.#events.filter(({ event, shownAtMs }) => event.sequence > after && shownAtMs <= nowMs).map(({ event }) => event)
  }

  #keepBlock (block: string): void {
    const isKnown = this.#blocks.delete(block)
    if (!isKnown && this.#options.maxBlocks === 0) return
    this.#blocks.add(block)
    if (isKnown) return
    this.#publish('stored', block)
    if (this.#blocks.size > this.#options.maxBlocks) this.#removeOldest()
  }

  #removeOldest (): void {
    const oldest = this.#blocks.values().next().value
    if (oldest === undefined) return
    this.#blocks.delete(oldest)
    this.#publish('removed', oldest)
  }

  #publish (kind: CacheEvent['kind'], block: string): void {
    const { clock, eventLagMs, loseEveryNthEvent } = this.#options
    const sequence = ++this.#sequence
    if (loseEveryNthEvent > 0 && sequence % loseEveryNthEvent === 0) return
    this.#events.push({ event: { sequence, kind, block }, shownAtMs: clock.readMonotonic() + eventLagMs })
    if (this.#events.length > maxKeptEvents) this.#events.shift()
  }
}

const charactersPerBlock = 64

/**
 * Names the blocks of a prompt for one adapter; adapters do not share blocks.
 *
 * @example
 * splitBlocks('cluj-tax@2', prompt, text => h64ToString(text))
 */
export function splitBlocks (adapterName: string, prompt: string, hashText: (text: string) => string): string[] {
  const blocks: string[] = []
  let name = adapterName
  for (let end = charactersPerBlock; end <= prompt.length; end += charactersPerBlock) {
    name = hashText(`${name}/${prompt.slice(end - charactersPerBlock, end)}`)
    blocks.push(name)
  }
  return blocks
}
