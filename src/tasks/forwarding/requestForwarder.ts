/** Selects other hosts through which this host serves requests while it reaches no endpoint of their service. */
import type { ClusterView } from '../../core/clusterView.js'
import { PeerBackoff } from '../../core/peerBackoff.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { HostRow } from '../../schemas/hostRows.js'

export interface ForwardingPeer {
  readonly row: HostRow
  readonly link: EndpointLink
}

export interface RequestForwarderOptions {
  clock: Clock
  clusterView: Pick<ClusterView, 'hosts'>
  own: { host: string, zone: string }
  /** Whether this host reaches no endpoint of a service. */
  isStranded: (service: string) => boolean
  /** Opens the link to the host at an IP address, on which it takes requests of other hosts. */
  openLink: (address: string) => EndpointLink
  /** Whether the host at an IP address runs and responds. */
  isRunning: (address: string) => Promise<boolean>
  random: () => number
}

/** Of this many hosts, picked at random, the one with the fewest forwarded requests gets the next. */
const comparedPeers = 2
const checkIntervalMs = 300
/** A host that has sent nothing for this long, although forwarded requests wait, is asked whether it runs. */
const maxSilenceMs = 1000

export class RequestForwarder {
  #options: RequestForwarderOptions
  #backoff = new PeerBackoff()
  /** By session, as a host may come back at another address. */
  #links = new Map<string, EndpointLink>()
  #timer: Timer | undefined

  constructor (options: RequestForwarderOptions) {
    this.#options = options
  }

  start (): void {
    const check = (): void => {
      for (const { row } of this.#options.clusterView.hosts.values()) this.#giveUpIfStopped(row)
      this.#timer = this.#options.clock.setTimer(check, checkIntervalMs)
    }
    check()
  }

  isStranded (service: string): boolean {
    return this.#options.isStranded(service)
  }

  /** Selects a host that may reach the endpoints, other than those with these sessions; undefined if none is left. */
  selectPeer (triedSessions: readonly string[]): ForwardingPeer | undefined {
    const { clock, clusterView, own, random } = this.#options
    const nowMs = clock.readMonotonic()
    const candidates = [...clusterView.hosts.values()].map(({ row }) => row)
      .filter(row => row.host !== own.host && !row.isLeaving && !triedSessions.includes(row.session) && !this.#backoff.isSkipped(row.session, nowMs))
    if (candidates.length === 0) return undefined
    const compared = Array.from({ length: comparedPeers }, () => candidates[Math.floor(random() * candidates.length)]!)
      .map(row => ({ row, link: this.#getLink(row) }))
    return compared.reduce((best, other) => this.#isBetter(other, best) ? other : best)
  }

  /** Records that a host could not serve a request, so that it is not asked again for a while. */
  recordFailure ({ row }: ForwardingPeer): void {
    this.#backoff.recordSilence(row.session, this.#options.clock.readMonotonic())
  }

  recordResponse ({ row }: ForwardingPeer): void {
    this.#backoff.recordResponse(row.session)
  }

  /** Gives up the requests at a host that has stopped or froze, so that they are tried elsewhere or answered. */
  async #giveUpIfStopped (row: HostRow): Promise<void> {
    const { clock, isRunning } = this.#options
    const link = this.#links.get(row.session)
    if (!link || !isSilent(link, clock.readMonotonic()) || await isRunning(row.address) || !isSilent(link, clock.readMonotonic())) return
    this.recordFailure({ row, link })
    link.giveUpSilent(clock.readMonotonic() - maxSilenceMs, `host "${row.host}" does not respond`)
  }

  stop (): void {
    this.#timer?.cancel()
    for (const link of this.#links.values()) link.close()
    this.#links.clear()
  }

  #isBetter (other: ForwardingPeer, best: ForwardingPeer): boolean {
    const { zone } = this.#options.own
    if (other.link.busy !== best.link.busy) return other.link.busy < best.link.busy
    return other.row.zone === zone && best.row.zone !== zone
  }

  #getLink ({ session, address }: HostRow): EndpointLink {
    const known = this.#links.get(session)
    if (known) return known
    this.#removeGoneHosts()
    const link = this.#options.openLink(address)
    this.#links.set(session, link)
    return link
  }

  #removeGoneHosts (): void {
    const sessions = new Set([...this.#options.clusterView.hosts.values()].map(({ row }) => row.session))
    for (const [session, link] of this.#links) {
      if (sessions.has(session)) continue
      link.close()
      this.#links.delete(session)
    }
  }
}

function isSilent ({ activity: { waitingSinceMs, lastContactAtMs } }: EndpointLink, nowMs: number): boolean {
  return waitingSinceMs !== undefined && nowMs - Math.max(waitingSinceMs, lastContactAtMs) >= maxSilenceMs
}
