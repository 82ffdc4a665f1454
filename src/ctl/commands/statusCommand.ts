/** `sedgevalvectl status` and `sedgevalvectl dump`. */
import { formatDuration } from '../../core/formatTarget.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { SystemStatus } from '../../tasks/operators/statusRoutes.js'
import type { Command, CommandContext } from '../command.js'
import { renderTable } from '../renderTable.js'

export const statusCommand: Command = {
  words: ['status'],
  arguments: [],
  summary: 'shows hosts, endpoints and queues',
  options: {},
  run: printStatus
}

export const dumpCommand: Command = {
  words: ['dump'],
  arguments: ['HOST'],
  summary: 'prints the whole state of one host as JSON, without secrets',
  options: {},
  run: async context => {
    const dump = await context.client.read(`/api/dump/${encodeURIComponent(context.positionals[0]!)}`)
    context.print(JSON.stringify(dump, null, context.isJson ? 0 : 2))
  }
}

async function printStatus (context: CommandContext): Promise<void> {
  const status = await context.client.read('/api/status') as SystemStatus
  if (context.isJson) {
    context.print(JSON.stringify(status))
    return
  }
  const endpoints = status.schedulers.flatMap(scheduler => scheduler.endpoints)
  context.print(`gateways:      ${status.gateways.join(' ')}`)
  context.print(`schedulers:    ${status.schedulers.map(({ host, isLeaving }) => isLeaving ? `${host} (leaving)` : host).join(' ')}`)
  context.print(`configuration: version ${status.configurationVersion}`)
  if (status.silentHosts.length > 0) context.print(`no answer:     ${status.silentHosts.join(' ')}`)
  context.print('')
  context.print(renderTable(['endpoint', 'zone', 'owner', 'state', 'running', 'slots', 'loading', 'queued'], endpoints.map(listCells)))
  const queues = endpoints.flatMap(endpoint => endpoint.queues.map(queue => ({ endpointId: endpoint.endpointId, ...queue })))
  if (queues.length === 0) return
  context.print('')
  context.print(renderTable(['endpoint', 'class', 'target', 'queued', 'oldest', 'first due in'], queues.map(queue => [
    queue.endpointId, queue.className, queue.target, queue.queued, formatDuration(queue.oldestMs), formatDuration(queue.dueInMs)
  ])))
}

function listCells (endpoint: EndpointState): unknown[] {
  const queued = endpoint.queues.reduce((sum, queue) => sum + queue.queued, 0)
  const state = endpoint.presence === 'leaving' ? 'leaving' : endpoint.isReady ? 'ready' : 'not ready'
  return [
    endpoint.endpointId, endpoint.zone, endpoint.host, state, `${endpoint.runningCount}/${endpoint.batchLimit}`,
    `${endpoint.loaded.length + endpoint.loading.length}/${endpoint.slots}`, endpoint.loading.length, queued
  ]
}
