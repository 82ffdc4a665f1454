/** The desks of all endpoints that this host owns, and the asks that reach them. */
import type { BoardChange, NewsBoard } from '../../core/newsBoard.js'
import type { Clock } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders } from '../../ports/orders.js'
import type { HostMessage, PlaceAnswer } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import { EndpointDesk } from './endpointDesk.js'

export interface DeskTaskOptions {
  clock: Clock
  log: EventLog
  host: string
  board: NewsBoard
  openOrders: (endpoint: EndpointEntry) => EngineOrders
  findFencing: (endpointId: string) => number | undefined
}

/** Orders that a former owner sent just before it lost the endpoint arrive within this time. */
const settleMs = 300

export class DeskTask {
  #options: DeskTaskOptions
  #desks = new Map<string, EndpointDesk>()
  #owned = new Set<string>()

  constructor (options: DeskTaskOptions) {
    this.#options = options
  }

  /** `wasOwn`: the host owned the endpoint before it restarted, so no orders of another one can be on their way. */
  receiveOwnership (endpointId: string, fencing: number | undefined, wasOwn: boolean): void {
    if (fencing === undefined) {
      this.#owned.delete(endpointId)
      this.#closeDesk(endpointId, 'this host no longer owns it')
    } else {
      this.#owned.add(endpointId)
      this.#openDesk(endpointId, wasOwn ? 0 : settleMs)
    }
  }

  receiveChange (change: BoardChange): void {
    if (change.kind === 'endpoint') this.#receiveEntry(change.id, change.entry)
    if (change.kind === 'configuration') for (const endpointId of this.#owned) this.#openDesk(endpointId)
    if (change.kind === 'version') for (const desk of this.#desks.values()) desk.receiveVersion(change.version.model, change.version.adapter)
  }

  /** Takes an ask or an outcome from a front; `answer` sends a message back to it. */
  receiveMessage (message: HostMessage, sender: Pick<DatagramSender, 'session'>, answer: (message: PlaceAnswer) => void): void {
    if (message.type === 'held') this.#desks.get(message.endpointId)?.receiveHeld(sender.session, message)
    if (message.type === 'placed') this.#desks.get(message.endpointId)?.receivePlaced(message)
    if (message.type === 'leaving') this.#desks.get(message.endpointId)?.receiveLeaving(message)
    if (message.type !== 'ask' && message.type !== 'done') return
    const key = `${sender.session}.${message.id}`
    const desk = this.#desks.get(message.endpointId)
    if (message.type === 'done') {
      desk?.receiveDone(key, message)
      return
    }
    if (desk) desk.receiveAsk(key, message, answer)
    else answer({ type: 'refusal', id: message.id, code: 'not_owner', message: `this host does not own endpoint "${message.endpointId}"`, retryAfterMs: 0, expectedMs: -1 })
  }

  describeState (): unknown {
    return [...this.#desks.values()].map(desk => desk.describeState())
  }

  #receiveEntry (id: string, entry: EndpointEntry | undefined): void {
    const desk = this.#desks.get(id)
    if (entry && desk) desk.receiveEntry(entry)
    else if (entry && this.#owned.has(id)) this.#openDesk(id)
    else if (!entry && desk) this.#closeDesk(id, 'its entry is gone')
  }

  #openDesk (endpointId: string, settle = settleMs): void {
    const { clock, log, host, board, openOrders } = this.#options
    if (this.#desks.has(endpointId)) return
    const entry = board.endpoints.find(endpointId, clock.readMonotonic())
    const engine = entry && board.routes?.configuration.services.get(entry.service)?.engine
    if (!engine) return
    const desk = new EndpointDesk({
      clock,
      log,
      host,
      entry,
      engine,
      orders: openOrders(entry),
      findFencing: () => this.#options.findFencing(endpointId),
      findVersion: (model, adapter) => board.findAdapterVersion(model, adapter),
      settleMs: settle
    })
    this.#desks.set(endpointId, desk)
    desk.start()
  }

  #closeDesk (endpointId: string, reason: string): void {
    const desk = this.#desks.get(endpointId)
    if (!desk) return
    this.#desks.delete(endpointId)
    desk.stop(`endpoint "${endpointId}" takes no asks here: ${reason}`)
  }
}
