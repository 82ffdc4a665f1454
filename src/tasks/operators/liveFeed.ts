/** Brings the decisions of all hosts to those who watch on this gateway; costs other hosts nothing while nobody does. */
import type { DecisionFilter } from '../../core/decisionFilter.js'
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import type { GatewayQueries } from './gatewayQueries.js'
import type { PeerQueries } from './peerQueries.js'
import { RemoteFeeds } from './remoteFeeds.js'
import type { WatchStream } from './watchStream.js'

/** Subscriptions end 15 s after their last renewal. */
const renewIntervalMs = 5000
const heartbeatIntervalMs = 5000
/** Time for a watcher to receive the end of its stream once the feed has stopped. */
const maxEndMs = 1000

export interface LiveFeedOptions {
  hostId: string
  clock: Clock
  decisions: DecisionStore
  peers: PeerQueries
  gateways: GatewayQueries
}

export interface WatchRequest {
  filter: DecisionFilter
  /** `local` watches this gateway alone, as other gateways do. */
  scope: 'all' | 'local'
  authorization: string
}

interface Watcher {
  stream: WatchStream
  request: WatchRequest
  stop: () => void
}

export class LiveFeed {
  #options: LiveFeedOptions
  #watchers = new Set<Watcher>()
  #renewals: Repetition | undefined
  #isStopped = false

  constructor (options: LiveFeedOptions) {
    this.#options = options
  }

  get watchers (): number {
    return this.#watchers.size
  }

  /** Whether nobody may watch any more. */
  get isStopped (): boolean {
    return this.#isStopped
  }

  /** Starts to send decisions to a stream; the result ends that. */
  addWatcher (stream: WatchStream, request: WatchRequest): () => void {
    const { clock, decisions, gateways } = this.#options
    const stopOwn = decisions.addWatcher(decision => stream.receiveDecision(decision))
    const remote = request.scope === 'all' ? new RemoteFeeds({ clock, gateways, stream, request }) : undefined
    const heartbeats = repeatTask(clock, heartbeatIntervalMs, async () => stream.sendHeartbeat(), () => {})
    const watcher: Watcher = {
      stream,
      request,
      stop: () => {
        stopOwn()
        remote?.stop()
        heartbeats.stop()
      }
    }
    this.#watchers.add(watcher)
    stream.addHost(this.#options.hostId)
    remote?.start()
    if (request.scope === 'all') this.#renew()
    return () => this.#removeWatcher(watcher)
  }

  /** Passes on what a scheduler has decided. */
  receiveDecisions (message: PeerMessageOf<'decisions'>): void {
    for (const { stream, request } of this.#watchers) {
      if (request.scope === 'local') continue
      for (const decision of message.decisions) stream.receiveDecision(decision)
      if (message.missed > 0) stream.receiveMissed(message.missed)
    }
  }

  stop (): void {
    this.#isStopped = true
    for (const watcher of [...this.#watchers]) {
      this.#removeWatcher(watcher)
      watcher.stream.close()
      this.#options.clock.setTimer(() => watcher.stream.cut(), maxEndMs)
    }
  }

  #removeWatcher (watcher: Watcher): void {
    watcher.stop()
    this.#watchers.delete(watcher)
    if (this.#listRemote().length > 0) return
    this.#renewals?.stop()
    this.#renewals = undefined
  }

  #listRemote (): Watcher[] {
    return [...this.#watchers].filter(watcher => watcher.request.scope === 'all')
  }

  #renew (): void {
    this.#renewals?.stop()
    this.#renewals = repeatTask(this.#options.clock, renewIntervalMs, async () => {
      const answers = await this.#options.peers.requestAll('watch', JSON.stringify(this.#resolveFilter()))
      const reached = answers.filter(({ answer }) => answer !== undefined)
      for (const { stream } of this.#listRemote()) reached.forEach(({ host }) => stream.addHost(host))
    }, () => {})
  }

  /** One filter for all watchers: theirs where they agree, else none; each stream filters again. */
  #resolveFilter (): DecisionFilter {
    const [first, ...others] = this.#listRemote().map(watcher => watcher.request.filter)
    const isSame = others.every(filter => JSON.stringify(filter) === JSON.stringify(first))
    return first && isSame ? first : {}
  }
}
