/** HTTP server of the callers' port: the OpenAI API, and the routes that relay calls to plain services. */
import { randomUUID } from 'node:crypto'
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { maxHeaderBytes, maxRequestBodyBytes } from '../../constants.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { AnswerWriter } from './answerWriter.js'
import { findCaller } from './callerAccess.js'
import { CallerConnections, keepAliveMs } from './callerConnections.js'
import { createCallerBudget } from './createCallerBudget.js'
import { getKeyedRequest, readHeader, readRequestId, sendFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'
import { runKeyedCompletion } from './keyedRequests.js'
import { addJobsRoute } from './jobsRoute.js'
import { addModelsRoute } from './modelsRoute.js'
import { defaultOpenRequestLimits, OpenRequests } from './openRequests.js'
import { resolveRequest } from './resolveRequest.js'
import { addServicesRoute } from './servicesRoute.js'

const healthPath = '/healthz'
const defaultMaxArrivalMs = 30_000
/** Longest time between two checks for requests that were not received in time. */
const maxArrivalCheckIntervalMs = 1000

export interface CallersServerOptions extends CallersContext {
  address: string
  /** 0 selects a free port. */
  port: number
  /** Time within which a request must be received completely, in milliseconds. */
  maxArrivalMs?: number
}

export interface CallersServer {
  readonly port: number
  /** Resolves once every response in progress has been sent. */
  stop: () => Promise<void>
}

/** Starts the server of the callers' port. Rejects if the port is in use. */
export async function startCallersServer (options: CallersServerOptions): Promise<CallersServer> {
  const { maxArrivalMs = defaultMaxArrivalMs } = options
  const connections = new CallerConnections({
    clock: options.clock,
    maxArrivalMs,
    budget: createCallerBudget(maxRequestBodyBytes),
    receiveFailure: failure => options.receiveRefusal({ requestId: '', callerName: undefined, failure })
  })
  const server = fastify({
    bodyLimit: maxRequestBodyBytes,
    serverFactory: handle => connections.createServer({
      maxHeaderSize: maxHeaderBytes,
      // A longer timeout for the headers would apply to the whole request instead of `requestTimeout`.
      headersTimeout: maxArrivalMs,
      requestTimeout: maxArrivalMs,
      connectionsCheckingInterval: Math.min(maxArrivalMs, maxArrivalCheckIntervalMs),
      keepAliveTimeout: keepAliveMs
    }, handle),
    return503OnClosing: false,
    clientErrorHandler: (error, socket) => connections.receiveError(error, socket)
  })
  server.decorate('receiveRefusal', options.receiveRefusal)
  addErrorHandlers(server)
  addCallerCheck(server, options)
  addCompletionRoutes(server, options)
  addModelsRoute(server, options)
  addJobsRoute(server, options)
  await addServicesRoute(server, options)
  await server.listen({ host: options.address, port: options.port })
  const { port } = server.server.address() as AddressInfo
  return { port, stop: async () => await connections.drain(async () => await server.close()) }
}

/** Refuses requests without a known key, and those over the limits of open requests, before their body is read. */
function addCallerCheck (server: FastifyInstance, context: CallersContext): void {
  const openRequests = new OpenRequests(context.openLimits ?? defaultOpenRequestLimits)
  server.decorateRequest('caller', undefined)
  server.addHook('onRequest', async (request, reply) => {
    reply.header('sedgevalve-request-id', `req-${randomUUID()}`)
    if (request.url === healthPath) return
    const caller = findCaller(context.configuration, request.headers.authorization, 'caller')
    if (!caller.isValid) return sendFailure(reply, caller.failure)
    request.caller = caller.value
    const admission = openRequests.admit(request.headers)
    if (typeof admission !== 'function') return sendFailure(reply, admission)
    reply.raw.once('close', admission)
  })
  server.get(healthPath, (_request, reply) => {
    const isCurrent = context.configuration.isCurrent()
    return reply.code(isCurrent ? 200 : 503).send({ status: isCurrent ? 'ok' : 'configuration unconfirmed' })
  })
}

function addErrorHandlers (server: FastifyInstance): void {
  server.setErrorHandler<FastifyError>((error, _request, reply) => {
    sendFailure(reply, createHttpFailure(error))
  })
  server.setNotFoundHandler((request, reply) => {
    sendFailure(reply, createNotRunFailure('path_not_found', `path "${request.url.slice(0, 200)}" does not exist for ${request.method}`, 404))
  })
}

function createHttpFailure (error: FastifyError): RequestFailure {
  const status = error.statusCode ?? 500
  if (status === 413) return createNotRunFailure('body_too_large', `the body is larger than ${maxRequestBodyBytes} bytes`, 413)
  if (status === 415) return createNotRunFailure('content_type_unsupported', 'the body is not "application/json"', 415)
  if (status < 500) return createNotRunFailure('invalid_body', `the body is not valid: ${error.message}`, status)
  if (error instanceof RangeError) return createNotRunFailure('invalid_body', 'the body is nested too deeply', 400)
  return createNotRunFailure('internal_error', 'the gateway failed before it forwarded the request', 500)
}

function addCompletionRoutes (server: FastifyInstance, context: CallersContext): void {
  for (const path of ['/v1/chat/completions', '/v1/completions'] as const) {
    server.post(path, async (request, reply) => await handleCompletion(context, path, request, reply))
  }
}

async function handleCompletion (
  context: CallersContext, path: '/v1/chat/completions' | '/v1/completions', request: FastifyRequest, reply: FastifyReply
): Promise<FastifyReply> {
  const requestId = readRequestId(reply)
  const resolved = resolveRequest(context.configuration, {
    requestId,
    path,
    body: request.body,
    className: readHeader(request, 'sedgevalve-class'),
    idempotencyKey: readHeader(request, 'idempotency-key'),
    caller: request.caller!,
    arrivedAtMs: context.clock.readMonotonic(),
    arrivedAtWallMs: context.clock.readWall()
  }, context.hashText)
  const work = getKeyedRequest(request, reply, [path, readHeader(request, 'sedgevalve-class') ?? '', JSON.stringify(request.body)])
  if (work) return await runKeyedCompletion(context, work, resolved, reply)
  if (!resolved.isValid) return sendFailure(reply, resolved.failure)
  reply.hijack()
  const cancel = (): void => context.router.cancelRequest(requestId)
  const writer = new AnswerWriter({ response: reply.raw, request: resolved.value, cancel })
  reply.raw.on('close', cancel)
  context.router.startRequest(resolved.value, event => writer.receive(event))
  return reply
}
