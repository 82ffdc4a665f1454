/** Notices that this host is cut off from its peers, so that it takes no callers and gives its engines up. */
import { isIsolated } from '../../core/isolation.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface IsolationWatchOptions {
  clock: Clock
  log: EventLog
  readHeardAtMs: () => number
  /** When a renewal of another host last changed in the store. */
  readOthersRenewedAtMs: () => number
  listPeers: () => { address: string }[]
  /** Sends a question to a host; the answer shows in `readHeardAtMs`. */
  ask: (address: string) => void
  random: () => number
}

/** Peers are asked once none was heard for this long: a peer's news come every 600 ms, and two rounds of questions fit before the silence counts. */
const quietMs = 800
const stepMs = 300
/** Peers that are asked at a time. */
const askedPeers = 3

export class IsolationWatch {
  #options: IsolationWatchOptions
  #isIsolated = false
  #timer: Timer | undefined

  constructor (options: IsolationWatchOptions) {
    this.#options = options
  }

  get isIsolated (): boolean {
    return this.#isIsolated
  }

  start (): void {
    const step = (): void => {
      this.#check()
      this.#timer = this.#options.clock.setTimer(step, stepMs)
    }
    step()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #check (): void {
    const { clock, log, readHeardAtMs, readOthersRenewedAtMs, listPeers, ask, random } = this.#options
    const nowMs = clock.readMonotonic()
    const heardAtMs = readHeardAtMs()
    if (nowMs - heardAtMs > quietMs) {
      const peers = listPeers()
      for (let count = 0; count < Math.min(askedPeers, peers.length); count++) ask(peers[Math.floor(random() * peers.length)]!.address)
    }
    const isCut = isIsolated({ nowMs, heardAtMs, othersRenewedAtMs: readOthersRenewedAtMs() })
    if (isCut === this.#isIsolated) return
    this.#isIsolated = isCut
    if (isCut) log.record('peers.lost', 'No peer is heard although others renew their rows: this host is cut off, takes no callers and gives its engines up.', { silentMs: Math.round(nowMs - heardAtMs) })
    else log.record('peers.regained', 'Peers are heard again.', {})
  }
}
