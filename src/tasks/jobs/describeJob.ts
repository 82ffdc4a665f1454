/** Creates the decision records about a job, from which its timeline is built. */
import type { DecisionDraft } from '../../schemas/decision.js'
import type { JobRow } from '../../schemas/jobRows.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { RequestFailure } from '../../schemas/verdict.js'

/** Steps of a job's life cycle; each is recorded as a decision with the job's id as the request id. */
export type JobStep = 'accepted' | 'run' | 'returned' | 'cancelled' | 'finished' | 'failed'

type DescribedJob = Pick<JobRow, 'id' | 'className' | 'adapter' | 'version' | 'acceptedAtWallMs' | 'dueAtWallMs'>

function createStepDecision (job: DescribedJob, step: JobStep, reason: string): DecisionDraft {
  const { id, className, adapter, version } = job
  return { kind: 'job', requestId: id, className, adapter, version, considered: [], chosen: step, reason, waits: [] }
}

/** Describes the acceptance of a job, which fixes its adapter version and due time. */
export function describeAcceptance (job: DescribedJob): DecisionDraft {
  const dueAt = new Date(job.dueAtWallMs).toISOString()
  return createStepDecision(job, 'accepted', `the job is durable, with version "${job.version}", and is due at ${dueAt}`)
}

/** Describes the start of a run, whose own timeline is recorded under `requestId`. */
export function describeRun (job: DescribedJob, requestId: string, wallMs: number, dueInMs: number): DecisionDraft {
  const waitedMs = Math.max(0, Math.round(wallMs - job.acceptedAtWallMs))
  const reason = `a run begins ${waitedMs} ms after the job was accepted, to finish within ${Math.round(dueInMs)} ms`
  return { ...createStepDecision(job, 'run', reason), considered: [{ name: requestId, costMs: 0, note: 'request of the run' }] }
}

/** Describes that a run did not execute the job, which returns to the queue. */
export function describeReturn (job: DescribedJob, failure: RequestFailure): DecisionDraft {
  return { ...createStepDecision(job, 'returned', `the job is in the queue again: ${failure.message}`), verdict: failure.verdict }
}

/** Describes that a caller or an operator cancelled the job. */
export function describeCancellation (job: DescribedJob, by: string): DecisionDraft {
  return createStepDecision(job, 'cancelled', `cancelled by ${by}`)
}

/** Describes the result that was written for a job. */
export function describeJobEnd (job: DescribedJob, end: StoredAnswer | RequestFailure): DecisionDraft {
  if (!('verdict' in end)) return { ...createStepDecision(job, 'finished', 'the answer is stored'), verdict: 'ran' }
  return { ...createStepDecision(job, 'failed', end.message), verdict: end.verdict }
}

/** Lists the request ids of a job's runs, oldest first, from the decisions about the job. */
export function listRuns (decisions: DecisionDraft[]): string[] {
  return decisions.filter(({ kind, chosen }) => kind === 'job' && chosen === 'run').flatMap(({ considered }) => considered.map(({ name }) => name))
}
