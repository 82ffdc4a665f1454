/** The operators' port: registrations, stories of requests, the live feed and the page. */
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyError, FastifyInstance } from 'fastify'
import { maxHeaderBytes } from '../../constants.js'
import { createLog } from '../../createLog.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { CallerConnections, keepAliveMs } from '../gateway/callerConnections.js'
import { createCallerBudget } from '../gateway/createCallerBudget.js'
import { addExplainRoute } from './explainRoute.js'
import { checkOperator } from './operatorAccess.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'
import { addPageRoute } from './pageRoute.js'
import { addJobRoutes } from './jobRoutes.js'
import { addRecordRoutes } from './recordRoutes.js'
import { addStatusRoutes } from './statusRoutes.js'
import { addWatchRoute } from './watchRoute.js'

const log = createLog('operators')
/** Room for a registration of tens of thousands of adapters at once. */
const maxOperatorBodyBytes = 16 * 1024 * 1024
const maxRequestReadMs = 60_000
/** A change waits 5 s for the schedulers, and before that up to 2 s for each call of the platform. */
const maxStopMs = 10_000

export interface OperatorsServer {
  readonly port: number
  /** Resolves once the requests that were read have been answered, or the time for this is over. */
  stop: () => Promise<void>
}

/** Starts the operators' port. Rejects where the port is in use. */
export async function startOperatorsServer (
  context: OperatorsContext, listen: { address: string, port: number }
): Promise<OperatorsServer> {
  const connections = new CallerConnections({
    clock: context.clock,
    maxArrivalMs: maxRequestReadMs,
    budget: createCallerBudget(maxOperatorBodyBytes),
    receiveFailure: failure => context.countBadInput(failure.code)
  })
  const server = fastify({
    bodyLimit: maxOperatorBodyBytes,
    serverFactory: handle => connections.createServer({
      maxHeaderSize: maxHeaderBytes, headersTimeout: maxRequestReadMs, requestTimeout: maxRequestReadMs, keepAliveTimeout: keepAliveMs
    }, handle),
    return503OnClosing: false,
    clientErrorHandler: (error, socket) => connections.receiveError(error, socket)
  })
  addErrorHandlers(server, context)
  addPageRoute(server)
  await server.register(async scope => addOperatorRoutes(scope, context))
  await server.listen({ host: listen.address, port: listen.port })
  const { port } = server.server.address() as AddressInfo
  return { port, stop: async () => await stopServer(server, connections) }
}

async function stopServer (server: FastifyInstance, connections: CallerConnections): Promise<void> {
  const cutTimer = setTimeout(() => {
    log('The connections of operators that are left after %d ms of the stop are cut.', maxStopMs)
    server.server.closeAllConnections()
  }, maxStopMs)
  await connections.drain(async () => await server.close())
  clearTimeout(cutTimer)
}

/** Every path below `/api` takes an operator's key; it is checked before the body is read. */
function addOperatorRoutes (scope: FastifyInstance, context: OperatorsContext): void {
  scope.decorateRequest('operator', undefined)
  scope.addHook('onRequest', async (request, reply) => {
    reply.header('cache-control', 'no-store')
    const operator = checkOperator(context.configuration, context.settingsKeyHash, request.headers.authorization)
    if (!operator.isValid) return sendOperatorFailure(context, reply, operator.failure)
    request.operator = operator.value
  })
  addExplainRoute(scope, context)
  addStatusRoutes(scope, context)
  addWatchRoute(scope, context)
  addRecordRoutes(scope, context)
  addJobRoutes(scope, context)
}

function addErrorHandlers (server: FastifyInstance, context: OperatorsContext): void {
  server.setErrorHandler<FastifyError>((error, _request, reply) => {
    sendOperatorFailure(context, reply, createHttpFailure(error))
  })
  server.setNotFoundHandler((request, reply) => {
    sendOperatorFailure(context, reply, createNotRunFailure('path_not_found', `path "${request.url.slice(0, 200)}" does not exist for ${request.method}`, 404))
  })
}

function createHttpFailure (error: FastifyError): RequestFailure {
  const status = error.statusCode ?? 500
  if (status === 413) return createNotRunFailure('body_too_large', `the body is larger than ${maxOperatorBodyBytes} bytes`, 413)
  if (status === 415) return createNotRunFailure('content_type_unsupported', 'the body is not "application/json"', 415)
  if (status < 500) return createNotRunFailure('invalid_body', `the body is not valid: ${error.message}`, status)
  return createNotRunFailure('internal_error', 'the gateway failed; its log names the cause', 500)
}
