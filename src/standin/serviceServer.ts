/** A stand-in of a plain service; it answers with what it was asked, keeps a journal and has switches for faults. */
import type { AddressInfo } from 'node:net'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import fastify from 'fastify'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import type { Clock } from '../ports/clock.js'
import type { StandinServer } from './engineServer.js'
import { Journal } from './journal.js'
import { addTestRoutes } from './testRoutes.js'

export interface ServiceJournalEntry {
  /** `requestId/attempt`. */
  requestId: string
  method: string
  path: string
  body: string
}

const countSchema = Type.Integer({ minimum: 0 })

/** A change of the switches; what is left out stays as it is. */
export const serviceFaultsSchema = Type.Object({
  /** The next calls are refused with status 503 and not run. */
  refuse: Type.Optional(countSchema),
  /** The connections of the next calls are cut before they run. */
  cutBeforeRunning: Type.Optional(countSchema),
  /** The next calls run, and their connections are cut before the answer. */
  cutAfterRunning: Type.Optional(countSchema),
  /** Time that each call takes. */
  delayMs: Type.Optional(Type.Number({ minimum: 0 })),
  /** The list of hosts shows the service as leaving, or as live again. */
  leaving: Type.Optional(Type.Boolean())
}, { additionalProperties: false })
export type ServiceFaults = Static<typeof serviceFaultsSchema>

export interface StandinServiceOptions {
  clock: Clock
  address: string
  /** 0 takes a free port. */
  port: number
  /** Name of the service. */
  service: string
  setLeaving?: (isLeaving: boolean) => void
}

export interface StandinService extends StandinServer {
  /** The calls that ran. */
  readonly journal: readonly ServiceJournalEntry[]
  setFaults: (change: ServiceFaults) => void
}

/** Starts a stand-in service. */
export async function startStandinService (options: StandinServiceOptions): Promise<StandinService> {
  const server = new ServiceServer(options)
  await server.start()
  return server
}

class ServiceServer implements StandinService {
  #options: StandinServiceOptions
  #server: FastifyInstance
  #journal = new Journal<ServiceJournalEntry>()
  #faults: ServiceFaults = {}
  #calls = 0
  address = ''

  constructor (options: StandinServiceOptions) {
    this.#options = options
    this.#server = fastify({ forceCloseConnections: true })
    this.#server.removeAllContentTypeParsers()
    this.#server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
    addTestRoutes(this.#server, {
      readJournal: (after, limit) => this.#journal.readPage(after, limit),
      faultsSchema: serviceFaultsSchema,
      setFaults: change => this.setFaults(change)
    })
    this.#server.all('/*', async (request, reply) => await this.#runCall(request, reply))
  }

  get journal (): readonly ServiceJournalEntry[] {
    return this.#journal.entries
  }

  async start (): Promise<void> {
    await this.#server.listen({ host: this.#options.address, port: this.#options.port })
    const { port } = this.#server.server.address() as AddressInfo
    this.address = `${this.#options.address}:${port}`
  }

  async stop (): Promise<void> {
    await this.#server.close()
  }

  setFaults (change: ServiceFaults): void {
    const { leaving, ...switches } = change
    this.#faults = { ...this.#faults, ...switches }
    if (leaving !== undefined) this.#options.setLeaving?.(leaving)
  }

  async #runCall (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    if (this.#takeOne('refuse')) return await reply.code(503).send({ error: `service "${this.#options.service}" takes no calls` })
    if (this.#takeOne('cutBeforeRunning')) return closeConnection(reply)
    const entry: ServiceJournalEntry = {
      requestId: String(request.headers['x-request-id'] ?? ''),
      method: request.method,
      path: request.url,
      body: Buffer.isBuffer(request.body) ? request.body.toString() : ''
    }
    this.#journal.add(entry)
    const number = ++this.#calls
    const isCut = this.#takeOne('cutAfterRunning')
    await this.#wait(this.#faults.delayMs ?? 0)
    if (isCut) return closeConnection(reply)
    return await reply.send({ service: this.#options.service, ...entry, number })
  }

  async #wait (delayMs: number): Promise<void> {
    if (delayMs > 0) await new Promise<void>(resolve => this.#options.clock.setTimer(resolve, delayMs))
  }

  #takeOne (name: 'refuse' | 'cutBeforeRunning' | 'cutAfterRunning'): boolean {
    const count = this.#faults[name] ?? 0
    if (count === 0) return false
    this.#faults[name] = count - 1
    return true
  }
}

function closeConnection (reply: FastifyReply): FastifyReply {
  reply.hijack()
  reply.raw.destroy()
  return reply
}
