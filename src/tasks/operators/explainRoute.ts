/** `GET /api/explain/{request}`: one request's story, from whichever host is asked. */
import type { FastifyInstance } from 'fastify'
import { Value } from '@sinclair/typebox/value'
import { buildRequestTimeline } from '../../core/requestTimeline.js'
import type { Decision } from '../../schemas/decision.js'
import { hostExplanationSchema } from '../../schemas/operatorMessage.js'
import type { HostExplanation, RequestTimeline } from '../../schemas/operatorMessage.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'
import type { HostAnswer } from './peerQueries.js'

const idPattern = /^[A-Za-z0-9-]{1,100}$/

interface ExplainRequest {
  Params: { requestId: string }
  Querystring: { scope?: string }
}

/** Adds the route; with `?scope=local` it answers what this gateway alone has kept. */
export function addExplainRoute (server: FastifyInstance, context: OperatorsContext): void {
  server.get<ExplainRequest>('/api/explain/:requestId', async (request, reply) => {
    const { requestId } = request.params
    if (!idPattern.test(requestId)) {
      return sendOperatorFailure(context, reply, createNotRunFailure('invalid_request_id', 'a request id has letters, digits and "-" alone', 400))
    }
    if (request.query.scope === 'local') return readOwnPart(context, requestId)
    const story = await requestStory(context, requestId, request.headers.authorization ?? '')
    if (story?.decisions.every(({ kind }) => kind === 'job')) {
      return sendOperatorFailure(context, reply, createNotRunFailure('request_is_job',
        `"${requestId}" is a job; "sedgevalvectl job explain CALLER ${requestId}" tells its story`, 404))
    }
    return story ?? sendOperatorFailure(context, reply, createNotRunFailure('request_unknown',
      `request "${requestId}" is unknown to the hosts that answered; it is mistyped, or too old to be kept`, 404))
  })
}

function readOwnPart (context: OperatorsContext, requestId: string): HostExplanation {
  return { host: context.hostId, decisions: context.decisions.findByRequest(requestId) }
}

/** Asks every host for its part of a story and puts them together; undefined where nobody knows the request. */
export async function requestStory (context: OperatorsContext, requestId: string, authorization: string): Promise<RequestTimeline | undefined> {
  const path = `/api/explain/${requestId}?scope=local`
  const [gateways, schedulers] = await Promise.all([
    context.gateways.requestAll(path, authorization),
    context.peers.requestAll('explain', requestId)
  ])
  const answers = [...gateways, ...schedulers]
  const decisions = [...readOwnPart(context, requestId).decisions, ...answers.flatMap(readDecisions)]
  const silent = answers.filter(({ answer }) => !Value.Check(hostExplanationSchema, answer)).map(({ host }) => host)
  return buildRequestTimeline(requestId, decisions, silent)
}

function readDecisions ({ answer }: HostAnswer): Decision[] {
  return Value.Check(hostExplanationSchema, answer) ? answer.decisions : []
}
