/** The schedulers that a process knows of: from the platform's lagging list, and from its peers before that. */
import type { HostListEntry } from '../../schemas/hostList.js'
import type { Member } from '../../schemas/peerMessage.js'

export class KnownSchedulers {
  #listed = new Map<string, Member>()
  #told = new Map<string, Member>()

  /** Takes the list as it is now. */
  receiveList (entries: HostListEntry[]): void {
    const schedulers = entries.filter(entry => entry.kind === 'scheduler')
    this.#listed = new Map(schedulers.map(({ id, zone, address }) => [id, { hostId: id, zone, address }]))
    for (const hostId of this.#listed.keys()) this.#told.delete(hostId)
  }

  /** Takes what a peer tells; the list goes first where it knows the host. */
  addMembers (members: Member[]): void {
    for (const member of members) {
      if (!this.#listed.has(member.hostId)) this.#told.set(member.hostId, member)
    }
  }

  /** The link to a host has closed: what peers told of it counts no more. */
  forgetTold (hostId: string): void {
    this.#told.delete(hostId)
  }

  list (): Member[] {
    return [...this.#told.values(), ...this.#listed.values()]
  }
}
