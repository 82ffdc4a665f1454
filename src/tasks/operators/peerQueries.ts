/** Asks schedulers, over the links that the gateway has, what operators want to know. */
import { randomUUID } from 'node:crypto'
import type { Clock } from '../../ports/clock.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'

const answerTimeoutMs = 2000

export type QuerySubject = 'explain' | 'status' | 'dump' | 'watch'

export interface QueryLinks {
  listHostIds: () => string[]
  /** False where there is no link to the host. */
  send: (hostId: string, message: PeerMessage) => boolean
}

/** An answer, or undefined where the host gave none in time. */
export interface HostAnswer {
  host: string
  answer: unknown
}

export class PeerQueries {
  #clock: Clock
  #links: QueryLinks
  #waiting = new Map<string, (answer: unknown) => void>()

  constructor (clock: Clock, links: QueryLinks) {
    this.#clock = clock
    this.#links = links
  }

  listHostIds (): string[] {
    return this.#links.listHostIds()
  }

  /** Resolves to undefined where the host gives no answer. */
  async request (host: string, subject: QuerySubject, argument: string): Promise<unknown> {
    const queryId = randomUUID()
    return await new Promise(resolve => {
      const timer = this.#clock.setTimer(() => finish(undefined), answerTimeoutMs)
      const finish = (answer: unknown): void => {
        timer.cancel()
        this.#waiting.delete(queryId)
        resolve(answer)
      }
      this.#waiting.set(queryId, finish)
      if (!this.#links.send(host, { type: 'query', queryId, subject, argument })) finish(undefined)
    })
  }

  /** Asks every scheduler to which a link is open. */
  async requestAll (subject: QuerySubject, argument: string): Promise<HostAnswer[]> {
    return await Promise.all(this.listHostIds().map(async host => ({ host, answer: await this.request(host, subject, argument) })))
  }

  receiveAnswer (message: PeerMessageOf<'queryAnswer'>): void {
    this.#waiting.get(message.queryId)?.(message.answer)
  }
}
