/** A stand-in of a plain service; it answers with what it was asked and keeps a journal. */
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { StandinServer } from './engineServer.js'

export interface ServiceJournalEntry {
  requestId: string
  method: string
  path: string
  body: string
}

export interface StandinService extends StandinServer {
  readonly journal: ServiceJournalEntry[]
}

/** Starts a stand-in service. */
export async function startStandinService (options: { address: string, port: number, service: string }): Promise<StandinService> {
  const journal: ServiceJournalEntry[] = []
  const server = fastify({ forceCloseConnections: true })
  server.removeAllContentTypeParsers()
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
  server.get('/journal', async () => journal)
  server.all('/*', async request => {
    const body = Buffer.isBuffer(request.body) ? request.body.toString() : ''
    const entry = { requestId: String(request.headers['x-request-id'] ?? ''), method: request.method, path: request.url, body }
    journal.push(entry)
    return { service: options.service, ...entry, number: journal.length }
  })
  await server.listen({ host: options.address, port: options.port })
  const { port } = server.server.address() as AddressInfo
  return { address: `${options.address}:${port}`, journal, stop: async () => await server.close() }
}
