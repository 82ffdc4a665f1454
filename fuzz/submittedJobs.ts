/** Jobs as callers submit them, and what is stored of them. */
import type { RoutedRequest } from '../src/tasks/gateway/routedRequest.js'
import type { JobDraft } from '../src/tasks/jobs/jobStore.js'
import { findOpenGateway, resolveFuzzRequest } from './askedRequests.js'
import type { AskedRequestsOptions } from './askedRequests.js'
import type { FuzzGateway } from './fuzzHosts.js'
import type { JobPlan, JobRecord } from './records.js'

export class SubmittedJobs {
  readonly records: JobRecord[] = []
  #options: Pick<AskedRequestsOptions, 'clock' | 'gateways'>

  constructor (options: Pick<AskedRequestsOptions, 'clock' | 'gateways'>) {
    this.#options = options
  }

  submitJob (plan: JobPlan): void {
    const { clock, gateways } = this.#options
    const gateway = findOpenGateway(gateways, plan.gateway)
    const content = `job ${this.records.length + 1}`
    const resolved = gateway && resolveFuzzRequest(gateway, content, { ...plan, content, className: 'later' }, clock)
    if (!resolved?.isValid) return
    const { adapter, version, callerName } = resolved.value
    const { tokens, runsAtMostOnce } = plan
    const record: JobRecord = {
      content, adapter, version, tokens, runsAtMostOnce, callerName, id: undefined, failure: undefined, state: undefined, text: undefined
    }
    this.records.push(record)
    gateway!.jobs.submitJob(createJobDraft(resolved.value, plan, clock.readWall())).then(result => {
      if (result.type === 'accepted') record.id = result.job.id
      else record.failure = result.failure
    }, () => {})
  }

  listAccepted (): JobRecord[] {
    return this.records.filter(job => job.id !== undefined)
  }

  /** Reads what is stored of the accepted jobs. */
  async readStored ({ jobs }: FuzzGateway): Promise<void> {
    await Promise.all(this.listAccepted().map(async record => {
      const job = await jobs.readJob(record.callerName, record.id!)
      record.state = job?.row.state
      const answer = job && await jobs.readAnswer(job.row)
      record.text = answer && Buffer.from(answer.body).toString()
    }))
  }
}

function createJobDraft (request: RoutedRequest, plan: JobPlan, acceptedAtWallMs: number): JobDraft {
  const { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body } = request
  return {
    idempotencyKey: undefined,
    bodyHash: body,
    acceptedAtWallMs,
    dueAtWallMs: acceptedAtWallMs + request.dueAtMs - request.arrivedAtMs,
    runsAtMostOnce: plan.runsAtMostOnce,
    request: { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body }
  }
}
