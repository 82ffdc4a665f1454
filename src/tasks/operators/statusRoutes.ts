/** `GET /api/status`, `GET /api/decisions` and `GET /api/dump/{host}`. */
import type { FastifyInstance } from 'fastify'
import { Value } from '@sinclair/typebox/value'
import { schedulerStatusSchema } from '../../schemas/operatorMessage.js'
import type { SchedulerStatus } from '../../schemas/operatorMessage.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { productVersion } from '../../constants.js'
import { sendOperatorFailure } from './operatorsContext.js'
import type { OperatorsContext } from './operatorsContext.js'

const maxDecisions = 200

interface DumpRequest {
  Params: { host: string }
  Querystring: { scope?: string }
}

/** What an operator sees first: hosts, endpoints and the configuration in force. */
export interface SystemStatus {
  host: string
  zone: string
  version: string
  configurationVersion: number
  gateways: string[]
  schedulers: SchedulerStatus[]
  silentHosts: string[]
}

export function addStatusRoutes (server: FastifyInstance, context: OperatorsContext): void {
  server.get('/api/status', async () => await requestStatus(context))
  server.get('/api/decisions', async () => ({ decisions: context.decisions.listRecent(maxDecisions) }))
  server.get<DumpRequest>('/api/dump/:host', async (request, reply) => {
    const { host } = request.params
    const isLocal = request.query.scope === 'local'
    const dump = await requestDump(context, host, isLocal, request.headers.authorization ?? '')
    return dump ?? sendOperatorFailure(context, reply, createNotRunFailure('host_unreachable',
      `host "${host}" gave no answer; "sedgevalvectl status" lists the hosts that this gateway reaches`, 504))
  })
}

async function requestStatus (context: OperatorsContext): Promise<SystemStatus> {
  const [answers, others] = await Promise.all([context.peers.requestAll('status', ''), context.gateways.listOthers()])
  const schedulers = answers.flatMap(({ answer }) => Value.Check(schedulerStatusSchema, answer) ? [answer] : [])
  const answered = new Set(schedulers.map(({ host }) => host))
  return {
    host: context.hostId,
    zone: context.zone,
    version: productVersion,
    configurationVersion: context.configuration.version,
    gateways: [context.hostId, ...others.map(entry => entry.id)].sort(),
    schedulers: schedulers.sort((left, right) => left.host.localeCompare(right.host)),
    silentHosts: answers.filter(({ host }) => !answered.has(host)).map(({ host }) => host)
  }
}

async function requestDump (context: OperatorsContext, host: string, isLocal: boolean, authorization: string): Promise<unknown> {
  if (host === context.hostId) return context.describeProcess()
  if (isLocal) return undefined
  if (context.peers.listHostIds().includes(host)) return await context.peers.request(host, 'dump', '')
  const gateway = (await context.gateways.listOthers()).find(entry => entry.id === host)
  return gateway && await context.gateways.request(gateway, `/api/dump/${encodeURIComponent(host)}?scope=local`, authorization)
}
