/** Finds limits of routes that contradict each other, by what hosts do with each value. */
import { defaultTimeLeftMs } from '../../constants.js'
import type { Route, RoutingConfiguration } from '../../schemas/routing.js'
import { canRetryAttempt } from '../retryRules.js'
import type { FieldFinding } from './checkFinding.js'

interface RouteProblem {
  readonly field: keyof Route
  readonly message: string
}

/**
 * Finds the contradictions within each route, and between routes and accounts.
 *
 * @example
 * findRouteContradictions(configuration)[0]?.at // { entry: 'route', index: 0, field: 'targetMs' }
 */
export function findRouteContradictions (configuration: RoutingConfiguration): FieldFinding[] {
  const { routes, accounts } = configuration
  return [
    ...routes.flatMap((route, index) => [...listTimeProblems(route), ...listRetryProblems(route)].map(({ field, message }): FieldFinding => ({ at: { entry: 'route', index, field }, message }))),
    ...findRepeatedNames(routes),
    ...routes.flatMap(({ isPublic }, index): FieldFinding[] => isPublic && !accounts
      ? [{ at: { entry: 'route', index, field: 'isPublic' }, message: 'without accounts all routes are public' }]
      : []),
    ...findOverriddenRanks(configuration)
  ]
}

function listTimeProblems ({ kind, timeoutMs, targetMs, maxGapMs, patienceMs }: Route): RouteProblem[] {
  if (timeoutMs <= 0) return [{ field: 'timeoutMs', message: `every request ends at once, as the time-out is ${timeoutMs} ms` }]
  const problems: RouteProblem[] = []
  const add = (field: keyof Route, message: string): void => { problems.push({ field, message }) }
  const isStream = kind === 'stream'
  if (targetMs <= 0) add('targetMs', `every request is late as it comes, as the target is ${targetMs} ms`)
  if (targetMs > timeoutMs) add('targetMs', `the target of ${targetMs} ms is longer than the time-out of ${timeoutMs} ms, after which hosts end the request`)
  else if (isStream && maxGapMs !== undefined && maxGapMs > timeoutMs) add('maxGapMs', `the target of ${maxGapMs} ms between two events is longer than the time-out of ${timeoutMs} ms, after which hosts end the stream`)
  else if (isStream && patienceMs > timeoutMs) add('timeoutMs', `hosts end the stream after ${timeoutMs} ms, before the ${patienceMs} ms for which its targets let a caller wait for an event`)
  if (maxGapMs !== undefined && !isStream) add('maxGapMs', 'a target between two events has no effect on a route that is no stream')
  if (maxGapMs !== undefined && isStream && maxGapMs <= 0) add('maxGapMs', `every event is late, as the target between two events is ${maxGapMs} ms`)
  if (timeoutMs > defaultTimeLeftMs) add('timeoutMs', `the time-out of ${timeoutMs} ms has no effect for callers that state no time: hosts end their requests after ${defaultTimeLeftMs} ms`)
  return problems
}

function listRetryProblems ({ kind, isResumable, maxAttempts, timeoutMs }: Route): RouteProblem[] {
  const problems: RouteProblem[] = []
  if (isResumable && kind !== 'stream') problems.push({ field: 'isResumable', message: 'it has no effect on a route that is no stream' })
  if (!Number.isInteger(maxAttempts)) problems.push({ field: 'maxAttempts', message: `${maxAttempts} counts as ${Math.ceil(maxAttempts)}` })
  if (maxAttempts <= 1 || timeoutMs <= 0) return problems
  const failure = { verdict: 'mayHaveRun', reason: '', status: undefined } as const
  const context = { kind, isResumable, possibleRuns: 1, maxAttempts, hasSentAnswer: false, canBeFollowed: true }
  if (!canRetryAttempt(failure, { ...context, timeLeftMs: Infinity })) problems.push({ field: 'maxAttempts', message: `${maxAttempts} attempts have no effect, as requests of this kind never run twice` })
  else if (!canRetryAttempt(failure, { ...context, timeLeftMs: timeoutMs })) problems.push({ field: 'maxAttempts', message: `${maxAttempts} attempts have no effect, as the time-out of ${timeoutMs} ms leaves no time for a second one` })
  return problems
}

/** Hosts learn callers' time-outs and the usual length of prompts by the route's name. */
function findRepeatedNames (routes: readonly Route[]): FieldFinding[] {
  const firstIndexes = new Map<string, number>()
  return routes.flatMap(({ name }, index): FieldFinding[] => {
    const firstIndex = firstIndexes.get(name)
    if (firstIndex === undefined) firstIndexes.set(name, index)
    return firstIndex === undefined
      ? []
      : [{ at: { entry: 'route', index, field: 'name' }, message: `entry ${firstIndex} has the same name, so that hosts estimate the callers and prompts of both as one` }]
  })
}

/** The rank of an account goes before that of a route. */
function findOverriddenRanks ({ routes, accounts = [] }: RoutingConfiguration): FieldFinding[] {
  const usable = accounts.filter(({ keys }) => keys.length > 0)
  if (usable.length === 0 || usable.some(({ rank }) => rank === undefined)) return []
  return routes.flatMap(({ rank, isPublic }, index): FieldFinding[] => rank === 0 || isPublic
    ? []
    : [{ at: { entry: 'route', index, field: 'rank' }, message: `the priority ${rank} has no effect, as every account has its own` }])
}
