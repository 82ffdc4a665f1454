/** Holds what callers were told against the journals of the stand-in engines. */
import type { JournalEntry } from '../src/standin/engineModel.js'
import type { CallResult } from './callerLoad.js'

/** Each list names the requests that a promise was broken for. */
export interface Findings {
  /** Neither a whole answer nor an error. */
  lost: string[]
  /** A token came twice. */
  doubled: string[]
  /** The answer, or a part of it, is of another request, adapter or version. */
  mixed: string[]
  /** Called whole, but a token is missing. */
  cutShort: string[]
  /** Called not run, but an engine started it. */
  ranThoughNotRun: string[]
  /** Handles that were unloaded while they served. */
  unloadedWhileServing: string[]
}

/**
 * Judges every answer; all lists are empty where the promises held.
 *
 * @example
 * const findings = judgeCalls(results, engines.flatMap(engine => engine.model.journal))
 */
export function judgeCalls (results: CallResult[], journal: readonly JournalEntry[]): Findings {
  const started = new Set(journal.filter(entry => entry.kind === 'started').map(entry => entry.requestId))
  const findings: Findings = { lost: [], doubled: [], mixed: [], cutShort: [], ranThoughNotRun: [], unloadedWhileServing: [] }
  for (const result of results) judgeCall(result, started, findings)
  for (const entry of journal) {
    if (entry.kind === 'unloaded' && entry.count > 0) findings.unloadedWhileServing.push(entry.handle)
  }
  return findings
}

/** Counts of each finding, for a report in one line. */
export function formatFindings (findings: Findings): string {
  return Object.entries(findings).map(([name, requests]) => `${name} ${(requests as string[]).length}`).join(', ')
}

function judgeCall (result: CallResult, started: Set<string>, findings: Findings): void {
  const name = `${result.requestId || 'no request id'} (${result.asked.model}, ${result.status} ${result.code})`
  if (!result.isWhole && result.verdict === '') findings.lost.push(name)
  if (result.verdict === 'not-run' && (started.has(result.requestId) || result.texts.length > 0)) findings.ranThoughNotRun.push(name)
  if (isMixed(result)) findings.mixed.push(name)
  if (new Set(result.texts).size < result.texts.length) findings.doubled.push(name)
  else if (!isWholeOrMarked(result)) findings.cutShort.push(name)
}

/** The first token names handle and request, as the stand-in engine wrote it. */
function isMixed ({ texts, model, requestId, asked }: CallResult): boolean {
  if (texts.length === 0) return false
  const match = /^\[([^#]+)#\S+ (\S+)\]$/.exec(texts[0]!)
  const isAsked = asked.model.includes('@') ? asked.model === model : model.startsWith(`${asked.model}@`)
  return match?.[1] !== model || match[2] !== requestId || !isAsked
}

function isWholeOrMarked ({ texts, isWhole, asked }: CallResult): boolean {
  const isInOrder = texts.every((text, index) => index === 0 || text === ` t${index}`)
  return isInOrder && (!isWhole || texts.length === asked.maxTokens)
}
