/** `/services/{name}/{path}`: calls of HTTP services, with any method. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { isCallIdempotent } from '../../core/callIdempotency.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { isNameAllowed } from './callerAccess.js'
import type { ValidationResult } from './callerAccess.js'
import { runKeyedCall } from './keyedRequests.js'
import { getKeyedRequest, readHeader, readRequestId, sendFailure, writeFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'
import type { RoutedCall, ServiceResult } from './serviceRouter.js'

/** Headers that are not forwarded: hop-by-hop headers, and headers meant for this system. */
const unforwardedHeaders = new Set([
  'connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authorization', 'proxy-authenticate',
  'host', 'content-length', 'authorization', 'sedgevalve-class', 'expect'
])

/** Adds the route in a Fastify scope of its own, where request bodies are not parsed. */
export async function addServicesRoute (server: FastifyInstance, context: CallersContext): Promise<void> {
  await server.register(async scope => {
    scope.removeAllContentTypeParsers()
    scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
    scope.all('/services/:name/*', async (request, reply) => await handleCall(context, request, reply))
  })
}

async function handleCall (context: CallersContext, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const call = resolveCall(context, request, readRequestId(reply))
  const keyedRequest = getKeyedRequest(request, reply, [request.method, request.url, Buffer.isBuffer(request.body) ? request.body : ''])
  if (keyedRequest) return await runKeyedCall(context, keyedRequest, call, reply, sendResult)
  if (!call.isValid) return sendFailure(reply, call.failure)
  const abort = new AbortController()
  reply.raw.on('close', () => abort.abort())
  const result = await context.services.runCall(call.value, abort.signal)
  return sendResult(reply, result)
}

function resolveCall (context: CallersContext, request: FastifyRequest, requestId: string): ValidationResult<RoutedCall> {
  const { name } = request.params as { name: string }
  const record = context.configuration.findService(name)
  if (!record || !isNameAllowed(request.caller!.services, name)) {
    const message = `service "${name}" does not exist or this key may not use it`
    return { isValid: false, failure: createNotRunFailure('service_not_found', message, 404) }
  }
  const path = request.url.slice(`/services/${name}`.length)
  const value: RoutedCall = {
    requestId,
    service: name,
    isRetryable: readHeader(request, 'idempotency-key') === undefined && isCallIdempotent(record, request.method, path),
    method: request.method,
    path,
    headers: selectForwardedHeaders(request.headers),
    body: Buffer.isBuffer(request.body) ? request.body : new Uint8Array()
  }
  return { isValid: true, value }
}

function sendResult (reply: FastifyReply, result: ServiceResult): FastifyReply {
  reply.header('sedgevalve-attempt', String(result.attempt))
  if (result.endpointId !== '') reply.header('sedgevalve-endpoint', result.endpointId)
  if (result.outcome.type === 'failed') return writeFailure(reply, result.outcome.failure)
  const { status, headers, body } = result.outcome
  return reply.code(status).headers(selectForwardedHeaders(headers)).send(Buffer.from(body))
}

function selectForwardedHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !unforwardedHeaders.has(name)) selected[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return selected
}
