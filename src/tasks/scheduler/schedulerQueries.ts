/** Answers the queries that gateways send to a scheduler on behalf of operators. */
import { Value } from '@sinclair/typebox/value'
import { decisionFilterSchema } from '../../core/decisionFilter.js'
import type { Clock } from '../../ports/clock.js'
import type { Decision } from '../../schemas/decision.js'
import type { EndpointState, HostExplanation, SchedulerStatus } from '../../schemas/operatorMessage.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'
import type { DecisionFeed } from '../decisions/decisionFeed.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import type { Reply } from './endpointTask.js'

const minuteMs = 60_000

export interface SchedulerQueriesOptions {
  hostId: string
  zone: string
  clock: Clock
  decisions: DecisionStore
  decisionFeed: DecisionFeed
  loadBudget: SchedulerStatus['loadBudget']
  isLeaving: () => boolean
  describeEndpoints: () => EndpointState[]
  /** Describes the state of the whole process, for `dump`. */
  describeState: () => unknown
}

export class SchedulerQueries {
  #options: SchedulerQueriesOptions

  constructor (options: SchedulerQueriesOptions) {
    this.#options = options
  }

  answerQuery (query: PeerMessageOf<'query'>, reply: Reply): void {
    reply({ type: 'queryAnswer', queryId: query.queryId, answer: this.#computeAnswer(query, reply) })
  }

  #computeAnswer (query: PeerMessageOf<'query'>, reply: Reply): unknown {
    switch (query.subject) {
      case 'explain': return this.#explainRequest(query.argument)
      case 'status': return this.#describeStatus()
      case 'dump': return this.#options.describeState()
      case 'watch': return this.#addWatcher(query.argument, reply)
      default: return { error: `subject "${query.subject}" is unknown` }
    }
  }

  /** Lists the request's decisions, and the loads and unloads that it may have waited for. */
  #explainRequest (requestId: string): HostExplanation {
    const { decisions, hostId } = this.#options
    const own = decisions.findByRequest(requestId)
    const related = own.length === 0 ? [] : decisions.listEvents(event => event.requestId !== requestId && isAdapterEventOfRequest(event, own))
    return { host: hostId, decisions: [...own, ...related] }
  }

  #describeStatus (): SchedulerStatus {
    const { hostId, zone, clock, decisions, isLeaving, describeEndpoints, loadBudget } = this.#options
    const sinceMs = clock.readWall() - minuteMs
    const loads = decisions.listEvents(event => event.kind === 'load' && event.atMs >= sinceMs)
    return { host: hostId, zone, isLeaving: isLeaving(), endpoints: describeEndpoints(), loadsLastMinute: loads.length, loadBudget }
  }

  #addWatcher (argument: string, reply: Reply): unknown {
    const filter = parseDecisionFilter(argument)
    if (!filter) return { error: 'the filter of "watch" is wrong' }
    this.#options.decisionFeed.addSubscription(reply, filter)
    return { isWatching: true }
  }
}

function parseDecisionFilter (argument: string): ReturnType<typeof Value.Decode<typeof decisionFilterSchema>> | undefined {
  try {
    return Value.Decode(decisionFilterSchema, JSON.parse(argument))
  } catch {
    return undefined
  }
}

/**
 * Whether the event is a load, failed load or unload of the request's adapter on an endpoint, between the request's first
 * and last decisions there.
 */
function isAdapterEventOfRequest (event: Decision, own: Decision[]): boolean {
  if (!['load', 'unload', 'fail'].includes(event.kind)) return false
  const first = own.find(decision => decision.endpointId === event.endpointId)
  const last = own.findLast(decision => decision.endpointId === event.endpointId)
  return first !== undefined && last !== undefined && event.adapter === first.adapter && event.version === first.version &&
    event.atMs >= first.atMs && event.atMs <= last.atMs
}
