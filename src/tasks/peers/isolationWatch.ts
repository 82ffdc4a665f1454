/** Detects that this host is isolated from its peers, so that it accepts no callers and releases its engines. */
import { isIsolated } from '../../core/isolation.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface IsolationWatchOptions {
  clock: Clock
  log: EventLog
  /** When this host last received anything from a peer. */
  readHeardAtMs: () => number
  /** When another host's renewal last changed in the store. */
  readOthersRenewedAtMs: () => number
  listPeers: () => { address: string }[]
  /** Pings a host; its reply shows in `getLastPeerMessageAtMs`. */
  ask: (address: string) => void
  random: () => number
}

/**
 * Peers are pinged after this time without a message: a relay responds every 600 ms, and two rounds of pings fit in before
 * the host counts as isolated.
 */
const pingAfterMs = 800
const checkIntervalMs = 300
/** Peers pinged in one round. */
const pingedPeerCount = 3

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
    const check = (): void => {
      this.#check()
      this.#timer = this.#options.clock.setTimer(check, checkIntervalMs)
    }
    check()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #check (): void {
    const { clock, log, readHeardAtMs: getLastPeerMessageAtMs, readOthersRenewedAtMs: getLastPeerRenewalAtMs, listPeers, ask: ping, random } = this.#options
    const nowMs = clock.readMonotonic()
    const lastMessageAtMs = getLastPeerMessageAtMs()
    if (nowMs - lastMessageAtMs > pingAfterMs) {
      const peers = listPeers()
      for (let count = 0; count < Math.min(pingedPeerCount, peers.length); count++) ping(peers[Math.floor(random() * peers.length)]!.address)
    }
    const isNowIsolated = isIsolated({ nowMs, heardAtMs: lastMessageAtMs, othersRenewedAtMs: getLastPeerRenewalAtMs() })
    if (isNowIsolated === this.#isIsolated) return
    this.#isIsolated = isNowIsolated
    if (isNowIsolated) log.record('peers.lost', 'No message from any peer although other hosts renew their rows: this host is isolated, accepts no callers and releases its engines.', { silentMs: Math.round(nowMs - lastMessageAtMs) })
    else log.record('peers.regained', 'This host is no longer isolated from its peers.', {})
  }
}
