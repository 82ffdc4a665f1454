/** Decides which part of the rates of a group of accounts this host may grant, so that all hosts together grant at most the whole. */

/** Without an acknowledged heartbeat for this long the granter halves its rate. */
const silenceMs = 600
/**
 * The deputy grants once no heartbeat has arrived for this long: the granter overdraws for 300 ms after its last acknowledged heartbeat,
 * and an overdraft takes up to 1,200 ms of the rate.
 */
const deputySilenceMs = 1500
/** An acknowledged heartbeat lets the granter overdraw for this long. */
const overdraftSilenceMs = 300
/** With an older copy of the hosts' table, less than an overdraft's 1,200 ms would remain until another host may grant. */
const maxOverdraftViewAgeMs = 3200
/**
 * A copy of the hosts' table that is older may lack a change, so that another host may be granter by now. Without failures a copy that was read
 * through another host gets 2.6 s old: a read of the store waits for up to 2 s, one of a relay for up to 0.6 s.
 */
export const maxViewAgeMs = 4200
/** A pair counts once it has not changed for longer than another host may still hold the former one. */
export const settlingMs = 4500
/**
 * A host whose row of a former process was still in the table as it started takes its role up sooner: that process has ended, and a
 * host that was removed before lost the store 3 s earlier, so that its copy is too old within 1.2 s of that.
 */
export const restartSettlingMs = 1600

export interface GranterView {
  readonly viewAgeMs: number
  /** Part of the hosts that may use the rate with this one: 1, or less while others are cut off. */
  readonly hostsShare: number
}

export class GranterShare {
  #own: string
  #granters: readonly string[] = []
  /** Since when this host is one of the two, and since when the two are the same. */
  #memberSinceMs: number
  #memberSettlingMs = settlingMs
  #pairSinceMs: number
  #acknowledgedSentAtMs = -Infinity
  #heartbeatAtMs = -Infinity
  #checkedAtMs: number
  #checkedViewAgeMs = 0
  #heldSinceMs = Infinity
  /** Since when this host has had the whole rates without a break. */
  #wholeSinceMs = Infinity

  constructor (own: string, nowMs: number) {
    this.#own = own
    this.#checkedAtMs = nowMs
    this.#memberSinceMs = nowMs
    this.#pairSinceMs = nowMs
  }

  /**
   * Records which hosts are granter and deputy; called at each change of the hosts' table. `isRestart`: this process has just followed
   * another one of its host, whose row was still in the table.
   */
  setGranters (granters: readonly string[], nowMs: number, isRestart = false): void {
    if (granters.length === this.#granters.length && granters.every((host, index) => host === this.#granters[index])) return
    if (!this.hasRole) {
      this.#memberSinceMs = nowMs
      this.#memberSettlingMs = isRestart ? restartSettlingMs : settlingMs
    }
    this.#granters = granters
    this.#pairSinceMs = nowMs
    this.#acknowledgedSentAtMs = -Infinity
  }

  get isGranter (): boolean {
    return this.#granters[0] === this.#own
  }

  /** Whether this host is the granter or its deputy. */
  get hasRole (): boolean {
    return this.#granters.includes(this.#own)
  }

  get deputy (): string | undefined {
    return this.#granters[1]
  }

  /** Since when this host has been granting without a break; what others granted before is unknown to it. */
  get heldSinceMs (): number {
    return this.#heldSinceMs
  }

  /** Receives the granter's heartbeat; returns whether it is acknowledged, which only the deputy of this granter does. */
  receiveHeartbeat (sender: string, nowMs: number): boolean {
    if (this.#granters[0] !== sender || this.deputy !== this.#own) return false
    this.#heartbeatAtMs = nowMs
    return true
  }

  /** Receives the deputy's acknowledgement of a heartbeat that was sent at a time of this host's clock. */
  receiveAcknowledgement (sender: string, sentAtMs: number): void {
    if (this.isGranter && this.deputy === sender) this.#acknowledgedSentAtMs = Math.max(this.#acknowledgedSentAtMs, sentAtMs)
  }

  /** Whether heartbeats are due: not before the pair has settled, as the deputy grants instead until then. */
  shouldSendHeartbeats (nowMs: number): boolean {
    return this.isGranter && this.deputy !== undefined && nowMs - this.#pairSinceMs >= settlingMs
  }

  /** Computes the part of the rates that this host may grant, from 0 to 1; has to be called several times a second. */
  compute ({ viewAgeMs, hostsShare }: GranterView, nowMs: number): number {
    // Other hosts may have been granters meanwhile, without a trace in this host's table.
    const highestAgeMs = Math.max(viewAgeMs, this.#checkedViewAgeMs + nowMs - this.#checkedAtMs)
    if (highestAgeMs > maxViewAgeMs) {
      this.#memberSinceMs = nowMs
      this.#memberSettlingMs = settlingMs
      this.#pairSinceMs = nowMs
    }
    this.#checkedAtMs = nowMs
    this.#checkedViewAgeMs = viewAgeMs
    const share = this.#computeShare(hostsShare, nowMs)
    this.#heldSinceMs = share === 0 ? Infinity : Math.min(this.#heldSinceMs, nowMs)
    this.#wholeSinceMs = share < 1 ? Infinity : Math.min(this.#wholeSinceMs, nowMs)
    return share
  }

  /** Whether this host may overdraw buckets: for a whole window it alone has granted, and no other host can do so soon. */
  canOverdraw (viewAgeMs: number, windowMs: number, nowMs: number): boolean {
    if (nowMs - this.#wholeSinceMs < windowMs || viewAgeMs > maxOverdraftViewAgeMs) return false
    return this.deputy === undefined || nowMs - this.#acknowledgedSentAtMs < overdraftSilenceMs
  }

  #computeShare (hostsShare: number, nowMs: number): number {
    if (!this.hasRole) return 0
    if (nowMs - this.#memberSinceMs < this.#memberSettlingMs || nowMs - this.#heartbeatAtMs < deputySilenceMs) return 0
    if (!this.isGranter) return hostsShare / 2
    const isWhole = nowMs - this.#pairSinceMs >= settlingMs && (this.deputy === undefined || nowMs - this.#acknowledgedSentAtMs < silenceMs)
    return isWhole ? hostsShare : hostsShare / 2
  }
}
