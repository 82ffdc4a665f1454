/** Claims work that may run at most once, and keeps its one answer. */
import { maxIdempotencyKeyBytes } from '../../constants.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { Objects } from '../../ports/objects.js'
import type { Table, TableRow } from '../../ports/table.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import { createMayHaveRun, createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { readAnswer, writeAnswer } from '../table/contentStore.js'
import type { BatchWriter } from '../table/batchWriter.js'
import type { PendingWrite, TableWriter, WriteResult } from '../table/tableWriter.js'
import { formatClaimKey, readClaimRow } from './claimRow.js'
import type { ClaimRow, ClaimedWork } from './claimRow.js'

const log = createLog('claims')
const retryAfterRunningMs = 2000
const retryAfterUnavailableMs = 2000
/** A claim that could not be settled is tried again at this interval, for this long at the most. */
const settleIntervalMs = 500
const maxSettleMs = 600_000
const maxDrainMs = 30_000
const drainIntervalMs = 50
const resolveTimeoutMs = 3_600_000

export interface ClaimTaskOptions {
  hostId: string
  clock: Clock
  table: Table
  objects: Objects
  writer: Pick<TableWriter, 'resolve'>
  batches: Pick<BatchWriter, 'write'>
}

/** A claim held by this process. */
export interface Claim {
  readonly key: string
  readonly version: number
  readonly work: ClaimedWork
}

export type ClaimResult =
  /** The work is this request's alone to run. */
  | { type: 'claimed', claim: Claim }
  /** The work has run; this is its one answer. */
  | { type: 'answered', answer: StoredAnswer }
  | { type: 'refused', failure: RequestFailure }

export class ClaimTask {
  #options: ClaimTaskOptions
  /** Keys of claims that this process holds and has not settled. */
  #open = new Set<string>()

  constructor (options: ClaimTaskOptions) {
    this.#options = options
  }

  /**
   * Claims work before it is dispatched. Never rejects.
   *
   * @example
   * const result = await claims.takeClaim({ callerName, idempotencyKey, bodyHash, requestId })
   * if (result.type === 'claimed') await run(result.claim)
   */
  async takeClaim (work: ClaimedWork): Promise<ClaimResult> {
    const problem = findKeyProblem(work)
    if (problem) return { type: 'refused', failure: problem }
    const key = formatClaimKey(work)
    const value: ClaimRow = { state: 'running', ...this.#createFields(work) }
    const result = await this.#options.batches.write({ checks: [{ key, version: 0 }], writes: [{ key, value }] })
    if (result.verdict === 'applied') {
      this.#open.add(key)
      return { type: 'claimed', claim: { key, version: result.version, work } }
    }
    if (result.verdict === 'unknown') {
      this.#releaseLater(key, work, result.pending)
      return { type: 'refused', failure: createUnavailable() }
    }
    if (result.cause === 'unavailable') return { type: 'refused', failure: createUnavailable() }
    const row = result.conflicts.find(conflict => conflict.key === key)
    return row ? await this.#readOutcome(row, work) : { type: 'refused', failure: createUnavailable() }
  }

  /** Finds what became of work that was claimed before; undefined where nobody has claimed it. */
  async findOutcome (work: ClaimedWork): Promise<ClaimResult | undefined> {
    if (findKeyProblem(work)) return undefined
    try {
      const [row] = await this.#options.table.readRows([formatClaimKey(work)])
      return row && await this.#readOutcome(row, work)
    } catch {
      return { type: 'refused', failure: createUnavailable() }
    }
  }

  /** Keeps the one answer; resolves once it is kept or another outcome stands. */
  async storeAnswer (claim: Claim, answer: StoredAnswer): Promise<void> {
    await this.#settle(claim, async () => {
      const reference = await writeAnswer(this.#options.objects, `answers/${claim.key}/${claim.work.requestId}`, answer)
      return { state: 'answered', ...this.#createFields(claim.work), answer: reference }
    })
  }

  /** Ends a claim by how its work failed: what did not run may be asked again under the same key. */
  async settleFailure (claim: Claim, failure: RequestFailure): Promise<void> {
    await this.#settle(claim, async () => failure.verdict === 'notRun'
      ? null
      : { state: 'mayHaveRun', ...this.#createFields(claim.work), message: failure.message })
  }

  describeState (): { openClaims: number } {
    return { openClaims: this.#open.size }
  }

  /** Ends once every claim of this process is settled, or after half a minute. */
  async drain (): Promise<void> {
    const { clock } = this.#options
    const endMs = clock.readMonotonic() + maxDrainMs
    while (this.#open.size > 0 && clock.readMonotonic() < endMs) {
      await new Promise<void>(resolve => { clock.setTimer(resolve, drainIntervalMs) })
    }
  }

  async #settle (claim: Claim, createValue: () => Promise<ClaimRow | null>): Promise<void> {
    await this.#trySettle(claim, createValue)
    this.#open.delete(claim.key)
  }

  /** Tries until the row is written; a row that has changed meanwhile stays as it is. */
  async #trySettle (claim: Claim, createValue: () => Promise<ClaimRow | null>): Promise<void> {
    const { clock, batches, writer } = this.#options
    const { key, version } = claim
    const endMs = clock.readMonotonic() + maxSettleMs
    while (clock.readMonotonic() < endMs) {
      const value = await createValue().catch(() => undefined)
      if (value !== undefined) {
        let result = await batches.write({ checks: [{ key, version }], writes: [{ key, value }] })
        if (result.verdict === 'unknown') result = await writer.resolve(result.pending, resolveTimeoutMs)
        if (result.verdict !== 'notApplied' || result.cause === 'conflict') return
      }
      await new Promise<void>(resolve => { clock.setTimer(resolve, settleIntervalMs) })
    }
    log('The claim of request "%s" was not settled; it stands as running.', claim.work.requestId)
  }

  /** The work of a claim whose fate was unknown is never run; should the claim stand, it is released. */
  #releaseLater (key: string, work: ClaimedWork, pending: PendingWrite): void {
    const release = async (): Promise<void> => {
      const result: WriteResult = await this.#options.writer.resolve(pending, resolveTimeoutMs)
      if (result.verdict !== 'applied') return
      await this.#settle({ key, version: result.version, work }, async () => null)
    }
    release().catch((error: Error) => log('A claim was not released: %s.', error.message))
  }

  async #readOutcome (row: TableRow, work: ClaimedWork): Promise<ClaimResult> {
    const claim = readClaimRow(row)
    if (claim.bodyHash !== work.bodyHash) return { type: 'refused', failure: createBodyDiffers() }
    if (claim.state === 'running') return { type: 'refused', failure: createRunning(claim.requestId) }
    if (claim.state === 'mayHaveRun') return { type: 'refused', failure: createMayHaveRunBefore(claim.requestId, claim.message) }
    try {
      return { type: 'answered', answer: await readAnswer(this.#options.objects, claim.answer) }
    } catch {
      return { type: 'refused', failure: createAnswerUnavailable(claim.requestId) }
    }
  }

  #createFields ({ bodyHash, requestId }: ClaimedWork): Pick<ClaimRow, 'bodyHash' | 'requestId' | 'hostId'> {
    return { bodyHash, requestId, hostId: this.#options.hostId }
  }
}

function findKeyProblem ({ idempotencyKey }: ClaimedWork): RequestFailure | undefined {
  const bytes = Buffer.byteLength(idempotencyKey)
  if (bytes > 0 && bytes <= maxIdempotencyKeyBytes) return undefined
  return createNotRun('idempotency_key_invalid', `the Idempotency-Key has ${bytes} bytes; expected 1 to ${maxIdempotencyKeyBytes}`, 400)
}

/** This request was not run, but a key names the work of every request that carries it. */
function createUnavailable (): RequestFailure {
  const message = 'the table gave no answer, so that this request was not run; whether an earlier one with its Idempotency-Key ran ' +
    'cannot be told, so ask again with the same key'
  return { ...createMayHaveRun('claim_unavailable', message, 503), retryAfterMs: retryAfterUnavailableMs }
}

function createBodyDiffers (): RequestFailure {
  return createNotRun('idempotency_key_reused', 'another request was sent with the same Idempotency-Key; use a new key for new work', 422)
}

function createRunning (requestId: string): RequestFailure {
  return {
    verdict: 'mayHaveRun',
    code: 'idempotency_key_running',
    message: `request "${requestId}" with the same Idempotency-Key is running, or may have run`,
    status: 409,
    retryAfterMs: retryAfterRunningMs
  }
}

function createMayHaveRunBefore (requestId: string, message: string): RequestFailure {
  return {
    verdict: 'mayHaveRun',
    code: 'idempotency_key_may_have_run',
    message: `request "${requestId}" with the same Idempotency-Key may have run: ${message}`,
    status: 409
  }
}

function createAnswerUnavailable (requestId: string): RequestFailure {
  return {
    verdict: 'ran',
    code: 'answer_unavailable',
    message: `request "${requestId}" with the same Idempotency-Key ran, but the object store does not give its answer at the moment`,
    status: 503,
    retryAfterMs: retryAfterUnavailableMs
  }
}
