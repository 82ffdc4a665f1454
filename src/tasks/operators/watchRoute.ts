/** `GET /api/watch`: decisions as they are taken, as server-sent events. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { Value } from '@sinclair/typebox/value'
import { decisionFilterSchema } from '../../core/decisionFilter.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'
import { WatchStream } from './watchStream.js'

const maxWatchers = 100

interface WatchQuery {
  Querystring: Record<string, string>
}

/** Adds the route; the query takes the fields of a filter, and `scope=local` for this gateway alone. */
export function addWatchRoute (server: FastifyInstance, context: OperatorsContext): void {
  server.get<WatchQuery>('/api/watch', async (request, reply) => {
    const { scope, ...filter } = request.query
    if (!Value.Check(decisionFilterSchema, filter)) {
      const fields = Object.keys(decisionFilterSchema.properties).join(', ')
      return sendOperatorFailure(context, reply, createNotRunFailure('invalid_query', `the filter is wrong; it takes ${fields}, each once`, 400))
    }
    if (context.feed.isStopped) {
      return sendOperatorFailure(context, reply, createNotRunFailure('gateway_stopping', 'the gateway stops; watch on another one', 503))
    }
    if (context.feed.watchers >= maxWatchers) {
      return sendOperatorFailure(context, reply, createNotRunFailure('too_many_watchers', `this host has ${maxWatchers} watchers; end one or ask another host`, 503))
    }
    openStream(context, request, reply, filter, scope === 'local' ? 'local' : 'all')
  })
}

function openStream (
  context: OperatorsContext, request: FastifyRequest, reply: FastifyReply, filter: Record<string, string>, scope: 'all' | 'local'
): void {
  reply.hijack()
  reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  const stream = new WatchStream(reply.raw, filter)
  const stop = context.feed.addWatcher(stream, { filter, scope, authorization: request.headers.authorization ?? '' })
  const { socket } = request.raw
  const endStream = (): void => stream.close()
  reply.raw.on('close', () => {
    socket.off('end', endStream)
    stop()
  })
  reply.raw.on('error', stop)
  // A watcher that leaves ends its side; it would otherwise count as one until a heartbeat is reset.
  if (socket.readableEnded) endStream()
  else socket.on('end', endStream)
}
