/** Routes of every stand-in of an endpoint by which tests read its journal and switch its faults. */
import type { Static, TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { FastifyInstance } from 'fastify'
import type { JournalPage } from './journal.js'

const journalPageSize = 10_000

export interface TestRoutesOptions<T extends TSchema> {
  readJournal: (after: number, limit: number) => JournalPage<unknown>
  faultsSchema: T
  /** Called once the change has been answered, as it may cut the connection. */
  setFaults: (change: Static<T>) => void
}

/** Adds `GET /journal?after=N` and `POST /faults`. */
export function addTestRoutes<T extends TSchema> (server: FastifyInstance, { readJournal, faultsSchema, setFaults }: TestRoutesOptions<T>): void {
  server.get<{ Querystring: { after?: string } }>('/journal', async request =>
    readJournal(Number(request.query.after ?? 0), journalPageSize))
  server.post('/faults', async ({ body }, reply) => {
    const change = Value.Parse(faultsSchema, Buffer.isBuffer(body) ? JSON.parse(String(body)) : body)
    reply.raw.on('finish', () => setFaults(change))
    return {}
  })
}
