/** Detects that this host is isolated from its peers, so that it accepts no callers and releases its engines. */
import { isIsolated } from '../../core/isolation.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface IsolationMonitorOptions {
  clock: Clock
  log: EventLog
  /** When this host last received anything from a peer. */
  getLastPeerMessageAtMs: () => number
  /** When another host's renewal last changed in the store. */
  getLastPeerRenewalAtMs: () => number
  listPeers: () => { address: string }[]
  /** Pings a host; its reply shows in `getLastPeerMessageAtMs`. */
  ping: (address: string) => void
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

export class IsolationMonitor {
  #options: IsolationMonitorOptions
  #isIsolated = false
  #timer: Timer | undefined

  constructor (options: IsolationMonitorOptions) {
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
    const { clock, log, getLastPeerMessageAtMs, getLastPeerRenewalAtMs, listPeers, ping, random } = this.#options
    const nowMs = clock.readMonotonic()
    const lastMessageAtMs = getLastPeerMessageAtMs()
    if (nowMs - lastMessageAtMs > pingAfterMs) {
      const peers = listPeers()
      for (let count = 0; count < Math.min(pingedPeerCount, peers.length); count++) ping(peers[Math.floor(random() * peers.length)]!.address)
    }
    const isNowIsolated = isIsolated({ nowMs, lastPeerMessageAtMs: lastMessageAtMs, lastPeerRenewalAtMs: getLastPeerRenewalAtMs() })
    if (isNowIsolated === this.#isIsolated) return
    this.#isIsolated = isNowIsolated
    if (isNowIsolated) log.record('peers.lost', 'No message from any peer although other hosts renew their rows: this host is isolated, accepts no callers and releases its engines.', { silentMs: Math.round(nowMs - lastMessageAtMs) })
    else log.record('peers.regained', 'This host is no longer isolated from its peers.', {})
  }
}
