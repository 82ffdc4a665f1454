/** The stand-in of the platform over HTTP: table, objects and the list of hosts. */
import { createHash } from 'node:crypto'
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyInstance } from 'fastify'
import { Value } from '@sinclair/typebox/value'
import { platformFaultsSchema } from '../adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../adapters/memoryPlatform/platformFaults.js'
import type { HostList } from '../ports/hostList.js'
import type { ObjectStore } from '../ports/objectStore.js'
import { isPlatformUnavailable } from '../ports/platformUnavailable.js'
import type { RowRange, Table, Transaction } from '../ports/table.js'
import { hostListEntrySchema } from '../schemas/hostList.js'
import type { StandinServer } from './engineServer.js'

/** Longest key of an object, as it stands in a path. */
const maxKeyLength = 1024
const maxBodyBytes = 64 * 1024 * 1024

export interface PlatformServerOptions {
  address: string
  /** 0 takes a free port. */
  port: number
  table: Table
  objects: ObjectStore
  hostList: HostList
  /** Switches of the services above; `POST /faults` changes them. */
  faults: PlatformFaults
}

/** Starts the stand-in platform; its services fail as their switches say. */
export async function startPlatformServer (options: PlatformServerOptions): Promise<StandinServer> {
  const server = fastify({ bodyLimit: maxBodyBytes, routerOptions: { maxParamLength: maxKeyLength }, forceCloseConnections: true })
  server.addContentTypeParser('application/octet-stream', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
  server.setErrorHandler(async (error: Error, _request, reply) => {
    return await reply.code(isPlatformUnavailable(error) ? 503 : 500).send({ message: error.message })
  })
  addFaultsRoute(server, options.faults)
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
  server.post<{ Body: Transaction }>('/table/transact', async (request, reply) => {
    const outcome = await table.transact(request.body)
    // A lost answer is a connection that breaks.
    if (outcome.verdict === 'unknown') {
      reply.hijack()
      reply.raw.destroy()
      return reply
    }
    const isDown = outcome.verdict === 'notApplied' && outcome.cause === 'unavailable'
    return await reply.code(isDown ? 503 : 200).send(outcome)
  })
}

/** `POST /faults` sets the switches that its body names and answers with all of them. */
function addFaultsRoute (server: FastifyInstance, faults: PlatformFaults): void {
  server.post('/faults', async (request, reply) => {
    const next = { ...faults, ...(request.body as Partial<PlatformFaults>) }
    if (!Value.Check(platformFaultsSchema, next)) {
      const error = Value.Errors(platformFaultsSchema, next).First()
      return await reply.code(400).send({ message: `switch "${error?.path.slice(1)}" is wrong: ${error?.message}` })
    }
    return Object.assign(faults, next)
  })
}

function addObjectRoutes (server: FastifyInstance, objects: ObjectStore): void {
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

function addHostRoutes (server: FastifyInstance, hostList: HostList): void {
  server.get('/hosts', async (request, reply) => {
    const text = JSON.stringify(await hostList.listEntries())
    const tag = `"${createHash('sha1').update(text).digest('hex')}"`
    reply.header('etag', tag)
    if (request.headers['if-none-match'] === tag) return await reply.code(304).send()
    return await reply.type('application/json').send(text)
  })
  server.put<{ Params: { id: string } }>('/hosts/:id', async request => {
    await hostList.announceEntry(Value.Parse(hostListEntrySchema, request.body))
    return {}
  })
  server.delete<{ Params: { id: string } }>('/hosts/:id', async request => {
    await hostList.withdrawEntry(request.params.id)
    return {}
  })
}
