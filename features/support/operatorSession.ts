/** What an operator does on the operators' ports in one scenario. */
import type { Decision } from '../../src/schemas/decision.js'
import { EventParser } from '../../src/tasks/operators/eventParser.js'
import { exampleOperatorKey } from '../../src/bin/exampleRecords.js'
import { waitUntil } from './waitUntil.js'
import type { SystemWorld } from './world.js'

export class OperatorSession {
  #world: SystemWorld
  status = 0
  text = ''
  body: unknown
  headers: Headers | undefined
  feeds: Decision[][] = []
  /** Hosts that the last feed watches. */
  watchedHosts: string[] = []

  constructor (world: SystemWorld) {
    this.#world = world
  }

  get lastFeed (): Decision[] {
    return this.feeds.at(-1) ?? []
  }

  /** Sends a request, keeps its answer and returns the parsed body; an empty key sends no header. */
  async send (method: string, path: string, key: string, gateway = 1, content?: { body: string, type: string }): Promise<unknown> {
    const response = await fetch(`${this.#formatUrl(gateway)}${path}`, {
      method,
      headers: { ...(key !== '' && { authorization: `Bearer ${key}` }), ...(content && { 'content-type': content.type }) },
      ...(content && { body: content.body })
    })
    this.status = response.status
    this.headers = response.headers
    this.text = await response.text()
    this.body = this.text.startsWith('{') ? JSON.parse(this.text) : undefined
    return this.body
  }

  /** Opens a live feed and waits until every host sends to it. */
  async openFeed (filter: string, gateway: number): Promise<void> {
    const response = await fetch(`${this.#formatUrl(gateway)}/api/watch?${filter}`, { headers: { authorization: `Bearer ${exampleOperatorKey}` } })
    const decisions: Decision[] = []
    this.feeds.push(decisions)
    this.watchedHosts = []
    this.#readFeed(response.body!, decisions).catch(() => {})
    const { gateways, schedulers } = this.#world.playground!
    await waitUntil(async () => this.watchedHosts.length === gateways.length + schedulers.length)
  }

  async #readFeed (body: AsyncIterable<Uint8Array>, decisions: Decision[]): Promise<void> {
    const parser = new EventParser()
    for await (const chunk of body) {
      for (const { name, data } of parser.receive(chunk)) {
        if (name === 'decision') decisions.push(JSON.parse(data) as Decision)
        if (name === 'hosts') this.watchedHosts = (JSON.parse(data) as { hosts: string[] }).hosts
      }
    }
  }

  #formatUrl (gateway: number): string {
    return `http://127.0.0.1:${this.#world.playground!.gateways[gateway - 1]!.operatorsPort}`
  }
}

const sessions = new WeakMap<SystemWorld, OperatorSession>()

/** The session of a scenario. */
export function getSession (world: SystemWorld): OperatorSession {
  const session = sessions.get(world) ?? new OperatorSession(world)
  sessions.set(world, session)
  return session
}
