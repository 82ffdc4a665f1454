/** The oracle: it knows the promises to users and nothing of how they are kept. */
import { leavingGraceMs, maxCrashesPerRequest } from '../src/constants.js'
import { parseHandle } from '../src/core/handleFormat.js'
import { renderAnswer } from './fakeEngines.js'
import { renderCallAnswer } from './fakeServices.js'
import type { FuzzSystem } from './fuzzSystem.js'
import type { AskedRecord, JobRecord } from './records.js'
import type { Violation } from './promises.js'
import { fuzzLoadBudget } from './weightStore.js'

/** What one host knows of crashes reaches the others within this time. */
const spreadMs = 5000
/** Owners of endpoints, and so granters of loads, stay the same this long after the last change of hosts. */
const ownersSettleMs = 30_000

interface Started {
  content: string
  engineId: string
  requestId: string
  handle: string
  atMs: number
}

function listStarted (system: FuzzSystem): Started[] {
  return [...system.engines.values()].flatMap(engine => engine.started.map(run => ({ engineId: engine.id, ...run })))
}

interface Start {
  endpointId: string
  requestId: string
  atMs: number
}

/** Starts of requests on engines and of calls on services. */
function listStarts (system: FuzzSystem): Start[] {
  return [...system.engines.values(), ...system.services.values()].flatMap(({ id, started }) =>
    started.map(({ requestId, atMs }) => ({ endpointId: id, requestId, atMs })))
}

function listAsked (system: FuzzSystem): AskedRecord[] {
  return [...system.callers, ...system.calls]
}

function checkAdapters (system: FuzzSystem): Violation[] {
  const callers = new Map(system.callers.map(record => [record.requestId, record]))
  return listStarted(system).flatMap(({ requestId, content, handle, engineId }) => {
    const record = callers.get(requestId) ?? findJob(system, content)!
    const parsed = parseHandle(handle)
    if (parsed?.adapter === record.adapter && parsed.version === record.version) return []
    return [{ promise: 'rightAdapter', detail: `${requestId} asked for ${record.adapter}@${record.version} and ran on ${handle} of ${engineId}` }]
  })
}

function findJob (system: FuzzSystem, content: string): JobRecord | undefined {
  return system.jobs.find(job => content.includes(`"${job.content}"`))
}

/** An accepted job ends with its one whole answer, or with a failure that is stored; a refused one never runs. */
function checkJobs (system: FuzzSystem): Violation[] {
  const started = listStarted(system)
  return system.jobs.flatMap((job): Violation[] => {
    const runs = started.filter(run => findJob(system, run.content) === job)
    if (job.failure?.verdict === 'notRun' && runs.length > 0) {
      return [{ promise: 'notRunMeansNotRun', detail: `${job.content} was refused with ${job.failure.code} and ran` }]
    }
    if (job.runsAtMostOnce && runs.length > 1) {
      return [{ promise: 'atMostOnce', detail: `${job.content} may run once and ran ${runs.length} times` }]
    }
    if (job.id === undefined) return []
    if (job.state === undefined || job.state === 'queued') {
      return [{ promise: 'everyRequestAnswered', detail: `${job.content} was accepted and is ${job.state ?? 'gone'}` }]
    }
    const isWhole = runs.some(run => renderAnswer(run.handle, run.requestId, job.tokens) === job.text)
    if (job.state !== 'finished' || isWhole) return []
    return [{ promise: 'wholeAnswer', detail: `${job.content} of ${job.tokens} tokens has the answer "${job.text}"` }]
  })
}

function checkUnloads (system: FuzzSystem): Violation[] {
  return [...system.engines.values()].flatMap(engine => engine.unloadedWhileServing.map((handle): Violation => (
    { promise: 'neverUnloadedWhileServing', detail: `${handle} of ${engine.id} was unloaded while it served` })))
}

/** A request with a key may get the answer of an earlier one with the same key. */
function checkWholeAnswers (system: FuzzSystem): Violation[] {
  const started = listStarted(system)
  return system.callers.filter(record => record.outcome === 'whole').flatMap(record => {
    const answering = record.isReplayed
      ? system.callers.filter(other => other.idempotencyKey === record.idempotencyKey).map(other => other.requestId)
      : [record.requestId]
    const runs = started.filter(run => answering.includes(run.requestId))
    if (runs.some(run => renderAnswer(run.handle, run.requestId, record.tokens) === record.text)) return []
    return [{ promise: 'wholeAnswer', detail: `${record.requestId} of ${record.tokens} tokens was told "${record.text}" as whole` }]
  })
}

/** The same key may get the answer of an earlier call with the same key. */
function checkCallAnswers (system: FuzzSystem): Violation[] {
  const started = new Set(listStarts(system).map(start => start.requestId))
  return system.calls.filter(record => record.outcome === 'whole').flatMap(record => {
    const answering = record.isReplayed ? system.calls.filter(other => other.idempotencyKey === record.idempotencyKey) : [record]
    const isWhole = answering.some(({ requestId }) => started.has(requestId) && renderCallAnswer(requestId, record.content) === record.text)
    return isWhole ? [] : [{ promise: 'wholeAnswer', detail: `${record.requestId} was told "${record.text}" as whole` }]
  })
}

/** What was told not to have run did not run; that holds for the work of every earlier request with the same key. */
function checkNotRun (system: FuzzSystem): Violation[] {
  const asked = new Map(listAsked(system).map(record => [record.requestId, record]))
  return listAsked(system).filter(record => record.failure?.verdict === 'notRun').flatMap(record => {
    // The key names other work.
    const namesOther = record.failure!.code === 'idempotency_key_reused'
    const isSame = ({ requestId, atMs }: Start): boolean => requestId === record.requestId || (
      !namesOther && record.idempotencyKey !== undefined && atMs < record.endedAtMs! &&
      asked.get(requestId)?.idempotencyKey === record.idempotencyKey)
    const start = listStarts(system).find(isSame)
    if (!start) return []
    return [{ promise: 'notRunMeansNotRun', detail: `${start.requestId} ran, but ${record.requestId} was told ${record.failure!.code} as not run` }]
  })
}

/** Work with one key, and a call that may not be repeated, starts once. */
function checkAtMostOnce (system: FuzzSystem): Violation[] {
  const keys = new Map<string, string>()
  for (const { requestId, idempotencyKey } of listAsked(system)) if (idempotencyKey !== undefined) keys.set(requestId, idempotencyKey)
  for (const { requestId, isIdempotent } of system.calls) if (!isIdempotent && !keys.has(requestId)) keys.set(requestId, requestId)
  const runs = new Map<string, string[]>()
  for (const { requestId, endpointId } of listStarts(system)) {
    const key = keys.get(requestId)
    if (key) runs.set(key, [...runs.get(key) ?? [], `${requestId} on ${endpointId}`])
  }
  return [...runs].filter(([, starts]) => starts.length > 1).map(([key, starts]) => (
    { promise: 'atMostOnce', detail: `work "${key}" ran ${starts.length} times: ${starts.join(', ')}` }))
}

function checkLeaving (system: FuzzSystem): Violation[] {
  return listStarts(system).flatMap(run => {
    const leaving = system.leavings.find(({ endpointId, fromMs, untilMs }) =>
      endpointId === run.endpointId && run.atMs > fromMs + leavingGraceMs && run.atMs < untilMs)
    if (!leaving) return []
    return [{ promise: 'leavingGetsNoWork', detail: `${run.requestId} started on ${run.endpointId} ${run.atMs - leaving.fromMs} ms after it left` }]
  })
}

/** Loads of all engines together; while owners of endpoints change, each permit may be granted by two of them. */
function checkBudget (system: FuzzSystem): Violation[] {
  const { loads } = system.weights
  return loads.flatMap(({ startedAtMs }): Violation[] => {
    const running = loads.filter(load => load.startedAtMs <= startedAtMs && (load.endedAtMs ?? Infinity) > startedAtMs).length
    const isChanging = system.hostChanges.some(atMs => atMs <= startedAtMs && startedAtMs - atMs < ownersSettleMs)
    const limit = fuzzLoadBudget.loadsAtFullSpeed * (isChanging ? 2 : 1)
    if (running > limit) return [{ promise: 'loadsWithinBudget', detail: `${running} loads ran at once at ${startedAtMs}` }]
    const lately = loads.filter(load => load.startedAtMs <= startedAtMs && startedAtMs - load.startedAtMs < 1000).length
    if (lately <= limit + fuzzLoadBudget.loadsPerSecond) return []
    return [{ promise: 'loadsWithinBudget', detail: `${lately} loads started in the second before ${startedAtMs}` }]
  })
}

/** Where no fault stood while a request was open, schedulers that stop gracefully must not have cut it off. */
function checkGraceful (system: FuzzSystem): Violation[] {
  return listAsked(system)
    .filter(record => !record.isDisturbed && record.idempotencyKey === undefined && record.failure?.verdict === 'mayHaveRun')
    .map(record => ({ promise: 'gracefulCutsNothing', detail: `${record.requestId} was cut off (${record.failure!.code}) though nothing failed` }))
}

/** Once a request has crashed two endpoints, hosts that can tell each other let it crash no further ones. */
function checkCrashes (system: FuzzSystem): Violation[] {
  if (system.hadCuts) return []
  const crashes = [...system.engines.values()].flatMap(engine => engine.crashes).sort((left, right) => left.atMs - right.atMs)
  const contents = new Set(crashes.map(crash => crash.content))
  return [...contents].flatMap(content => {
    const times = crashes.filter(crash => crash.content === content).map(crash => crash.atMs)
    const late = times.slice(maxCrashesPerRequest).filter(atMs => atMs > times[maxCrashesPerRequest - 1]! + spreadMs)
    return late.map(atMs => ({ promise: 'crashesBounded', detail: `${content} crashed an engine at ${atMs} after ${times.join(', ')}` }))
  })
}

function checkAnswered (system: FuzzSystem): Violation[] {
  return listAsked(system).filter(record => record.outcome === 'open').map(record => (
    { promise: 'everyRequestAnswered', detail: `${record.requestId} has no answer ${system.clock.readMonotonic() - record.startedAtMs} ms after it came` }))
}

/** Holds everything that callers were told against the journals of the engines. */
export function findViolations (system: FuzzSystem): Violation[] {
  const checks = [checkAdapters, checkUnloads, checkWholeAnswers, checkCallAnswers, checkNotRun, checkAtMostOnce, checkJobs, checkLeaving, checkGraceful, checkCrashes, checkAnswered, checkBudget]
  return [...system.observed, ...checks.flatMap(check => check(system))]
}
