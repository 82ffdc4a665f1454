/** The schedulers that a process knows of: from the platform's list of hosts and, as that list lags, first from its peers. */
import type { HostListEntry } from '../../schemas/hostList.js'
import type { Member } from '../../schemas/peerMessage.js'

export class KnownSchedulers {
  #listed = new Map<string, Member>()
  #reported = new Map<string, Member>()

  /** Replaces the listed schedulers by those of the list as read now. */
  replaceListed (entries: HostListEntry[]): void {
    const schedulers = entries.filter(entry => entry.kind === 'scheduler')
    this.#listed = new Map(schedulers.map(({ id, zone, address }) => [id, { hostId: id, zone, address }]))
    for (const hostId of this.#listed.keys()) this.#reported.delete(hostId)
  }

  /** Adds members that a peer reported. For a host that is on the list, the list's entry is used instead. */
  addMembers (members: Member[]): void {
    for (const member of members) {
      if (!this.#listed.has(member.hostId)) this.#reported.set(member.hostId, member)
    }
  }

  /** Removes what peers reported of a host, after the link to it has closed. */
  removeReported (hostId: string): void {
    this.#reported.delete(hostId)
  }

  list (): Member[] {
    return [...this.#reported.values(), ...this.#listed.values()]
  }
}
