/** The stand-in of the platform over HTTP: table, objects and the list of hosts. */
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyInstance } from 'fastify'
import { Value } from '@sinclair/typebox/value'
import type { MemoryHostList } from '../adapters/memoryPlatform/memoryHostList.js'
import type { Objects } from '../ports/objects.js'
import type { RowRange, Table, Transaction } from '../ports/table.js'
import { hostListEntrySchema } from '../schemas/hostList.js'
import type { StandinServer } from './engineServer.js'

const maxBodyBytes = 64 * 1024 * 1024

export interface PlatformServerOptions {
  address: string
  /** 0 takes a free port. */
  port: number
  table: Table
  objects: Objects
  hostList: MemoryHostList
}

/** Starts the stand-in platform. */
export async function startPlatformServer (options: PlatformServerOptions): Promise<StandinServer> {
  const server = fastify({ bodyLimit: maxBodyBytes, forceCloseConnections: true })
  server.addContentTypeParser('application/octet-stream', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
  addTableRoutes(server, options.table)
  addObjectRoutes(server, options.objects)
  addHostRoutes(server, options.hostList)
  await server.listen({ host: options.address, port: options.port })
  const { port } = server.server.address() as AddressInfo
  return { address: `${options.address}:${port}`, stop: async () => await server.close() }
}

function addTableRoutes (server: FastifyInstance, table: Table): void {
  server.post<{ Body: { keys: string[] } }>('/table/read', async request => await table.readRows(request.body.keys))
  server.post<{ Body: RowRange }>('/table/list', async request => await table.listRows(request.body))
  server.post<{ Body: Transaction }>('/table/transact', async request => await table.transact(request.body))
}

function addObjectRoutes (server: FastifyInstance, objects: Objects): void {
  server.put<{ Params: { key: string }, Body: Buffer }>('/objects/:key', async request => {
    await objects.writeObject(request.params.key, request.body)
    return {}
  })
  server.get<{ Params: { key: string } }>('/objects/:key', async (request, reply) => {
    const bytes = await objects.readObject(request.params.key)
    if (!bytes) return reply.code(404).send({})
    return reply.type('application/octet-stream').send(Buffer.from(bytes))
  })
  server.delete<{ Params: { key: string } }>('/objects/:key', async request => {
    await objects.removeObject(request.params.key)
    return {}
  })
}

function addHostRoutes (server: FastifyInstance, hostList: MemoryHostList): void {
  server.get('/hosts', async () => await hostList.listEntries())
  server.put<{ Params: { id: string } }>('/hosts/:id', async request => {
    hostList.addEntry(Value.Parse(hostListEntrySchema, request.body))
    return {}
  })
  server.delete<{ Params: { id: string } }>('/hosts/:id', async request => {
    hostList.removeEntry(request.params.id)
    return {}
  })
}
