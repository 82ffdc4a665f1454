/** Describes what happens to a job, for its story. */
import type { DecisionDraft } from '../../schemas/decision.js'
import type { JobRow } from '../../schemas/jobRows.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { RequestFailure } from '../../schemas/verdict.js'

/** Steps of a job's way; each is a decision about the request that bears the job's id. */
export type JobStep = 'accepted' | 'run' | 'returned' | 'cancelled' | 'finished' | 'failed'

type DescribedJob = Pick<JobRow, 'id' | 'className' | 'adapter' | 'version' | 'acceptedAtWallMs' | 'dueAtWallMs'>

function describeStep (job: DescribedJob, step: JobStep, reason: string): DecisionDraft {
  const { id, className, adapter, version } = job
  return { kind: 'job', requestId: id, className, adapter, version, considered: [], chosen: step, reason, waits: [] }
}

/** Describes the acceptance, at which version and due time are fixed. */
export function describeAcceptance (job: DescribedJob): DecisionDraft {
  const dueAt = new Date(job.dueAtWallMs).toISOString()
  return describeStep(job, 'accepted', `the job is durable, with version "${job.version}", and is due at ${dueAt}`)
}

/** Describes the start of a run, whose own story has the id `requestId`. */
export function describeRun (job: DescribedJob, requestId: string, wallMs: number, dueInMs: number): DecisionDraft {
  const waitedMs = Math.max(0, Math.round(wallMs - job.acceptedAtWallMs))
  const reason = `a run begins ${waitedMs} ms after the job was accepted and asks for its end within ${Math.round(dueInMs)} ms`
  return { ...describeStep(job, 'run', reason), considered: [{ name: requestId, costMs: 0, note: 'request of the run' }] }
}

/** Describes that a run did not carry the job out and that it goes back into the queue. */
export function describeReturn (job: DescribedJob, failure: RequestFailure): DecisionDraft {
  return { ...describeStep(job, 'returned', `back into the queue: ${failure.message}`), verdict: failure.verdict }
}

/** Describes that a caller or an operator cancelled the job. */
export function describeCancellation (job: DescribedJob, by: string): DecisionDraft {
  return describeStep(job, 'cancelled', `cancelled by ${by}`)
}

/** Describes the end that was written. */
export function describeJobEnd (job: DescribedJob, end: StoredAnswer | RequestFailure): DecisionDraft {
  if (!('verdict' in end)) return { ...describeStep(job, 'finished', 'the answer is stored'), verdict: 'ran' }
  return { ...describeStep(job, 'failed', end.message), verdict: end.verdict }
}

/** Lists the requests of a job's runs, oldest first, from the decisions about the job. */
export function listRuns (decisions: DecisionDraft[]): string[] {
  return decisions.filter(({ kind, chosen }) => kind === 'job' && chosen === 'run').flatMap(({ considered }) => considered.map(({ name }) => name))
}
