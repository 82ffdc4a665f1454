/** Claims requests with an `Idempotency-Key`, which may run at most once, and stores their answers. */
import { maxIdempotencyKeyBytes } from '../../constants.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { ObjectStore } from '../../ports/objectStore.js'
import type { Table, TableRow } from '../../ports/table.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { readAnswer, writeAnswer } from '../table/contentStore.js'
import type { BatchWriter } from '../table/batchWriter.js'
import type { PendingWrite, TableWriter, WriteResult } from '../table/tableWriter.js'
import { formatClaimKey, readClaimRow } from './claimRow.js'
import type { ClaimRow, KeyedRequest } from './claimRow.js'

const log = createLog('claims')
const runningRetryAfterMs = 2000
const unavailableRetryAfterMs = 2000
/** Completing a claim is retried at this interval, for at most this long. */
const completionRetryIntervalMs = 500
const maxCompletionMs = 600_000
const maxDrainMs = 30_000
const drainIntervalMs = 50
const maxResolveMs = 3_600_000

export interface IdempotencyClaimTaskOptions {
  hostId: string
  clock: Clock
  table: Table
  objects: ObjectStore
  writer: Pick<TableWriter, 'resolve'>
  batches: Pick<BatchWriter, 'write'>
}

/** A claim held by this process. */
export interface IdempotencyClaim {
  readonly key: string
  readonly version: number
  readonly request: KeyedRequest
}

export type ClaimResult =
  /** Only this request may run. */
  | { type: 'claimed', claim: IdempotencyClaim }
  /** An earlier request with this key has run; this is its stored answer. */
  | { type: 'answered', answer: StoredAnswer }
  | { type: 'refused', failure: RequestFailure }

export class IdempotencyClaimTask {
  #options: IdempotencyClaimTaskOptions
  /** Keys of claims that this process holds and has not completed. */
  #openClaimKeys = new Set<string>()

  constructor (options: IdempotencyClaimTaskOptions) {
    this.#options = options
  }

  /**
   * Claims a request before it is dispatched. Never rejects.
   *
   * @example
   * const result = await claims.acquireClaim({ callerName, idempotencyKey, bodyHash, requestId })
   * if (result.type === 'claimed') await run(result.claim)
   */
  async acquireClaim (request: KeyedRequest): Promise<ClaimResult> {
    const failure = validateKey(request)
    if (failure) return { type: 'refused', failure }
    const key = formatClaimKey(request)
    const value: ClaimRow = { state: 'running', ...this.#createRowFields(request) }
    const result = await this.#options.batches.write({ checks: [{ key, version: 0 }], writes: [{ key, value }] })
    if (result.verdict === 'applied') {
      this.#openClaimKeys.add(key)
      return { type: 'claimed', claim: { key, version: result.version, request } }
    }
    if (result.verdict === 'unknown') {
      this.#releaseUnknownClaim(key, request, result.pending)
      return { type: 'refused', failure: createUnavailableFailure() }
    }
    if (result.cause === 'unavailable') return { type: 'refused', failure: createUnavailableFailure() }
    const row = result.conflicts.find(conflict => conflict.key === key)
    return row ? await this.#readOutcome(row, request) : { type: 'refused', failure: createUnavailableFailure() }
  }

  /** Returns the result of an earlier claim with this key, or undefined if there is none. */
  async findOutcome (request: KeyedRequest): Promise<ClaimResult | undefined> {
    if (validateKey(request)) return undefined
    try {
      const [row] = await this.#options.table.readRows([formatClaimKey(request)])
      return row && await this.#readOutcome(row, request)
    } catch {
      return { type: 'refused', failure: createUnavailableFailure() }
    }
  }

  /** Stores the answer. Resolves once it is stored, the row has another result, or the retries are exhausted. */
  async storeAnswer (claim: IdempotencyClaim, answer: StoredAnswer): Promise<void> {
    await this.#completeClaim(claim, async () => {
      const reference = await writeAnswer(this.#options.objects, `answers/${claim.key}/${claim.request.requestId}`, answer)
      return { state: 'answered', ...this.#createRowFields(claim.request), answer: reference }
    })
  }

  /** Completes the claim of a failed request. If it did not run, the claim is deleted and the same key can be used again. */
  async recordFailure (claim: IdempotencyClaim, failure: RequestFailure): Promise<void> {
    await this.#completeClaim(claim, async () => failure.verdict === 'notRun'
      ? null
      : { state: 'mayHaveRun', ...this.#createRowFields(claim.request), message: failure.message })
  }

  describeState (): { openClaims: number } {
    return { openClaims: this.#openClaimKeys.size }
  }

  /** Resolves once every claim of this process is completed, or after 30 seconds. */
  async drain (): Promise<void> {
    const { clock } = this.#options
    const deadlineMs = clock.readMonotonic() + maxDrainMs
    while (this.#openClaimKeys.size > 0 && clock.readMonotonic() < deadlineMs) {
      await new Promise<void>(resolve => { clock.setTimer(resolve, drainIntervalMs) })
    }
  }

  async #completeClaim (claim: IdempotencyClaim, createValue: () => Promise<ClaimRow | null>): Promise<void> {
    await this.#writeCompletion(claim, createValue)
    this.#openClaimKeys.delete(claim.key)
  }

  /** Retries until the row is written. A row that has been changed by another write is left as it is. */
  async #writeCompletion (claim: IdempotencyClaim, createValue: () => Promise<ClaimRow | null>): Promise<void> {
    const { clock, batches, writer } = this.#options
    const { key, version } = claim
    const deadlineMs = clock.readMonotonic() + maxCompletionMs
    while (clock.readMonotonic() < deadlineMs) {
      const value = await createValue().catch(() => undefined)
      if (value !== undefined) {
        let result = await batches.write({ checks: [{ key, version }], writes: [{ key, value }] })
        if (result.verdict === 'unknown') result = await writer.resolve(result.pending, maxResolveMs)
        if (result.verdict !== 'notApplied' || result.cause === 'conflict') return
      }
      await new Promise<void>(resolve => { clock.setTimer(resolve, completionRetryIntervalMs) })
    }
    log('Could not complete the claim of request "%s"; its row stays in state running.', claim.request.requestId)
  }

  /** Releases a claim whose write had an unknown result, if it turns out to have been applied. Its request is never run. */
  #releaseUnknownClaim (key: string, request: KeyedRequest, pending: PendingWrite): void {
    const release = async (): Promise<void> => {
      const result: WriteResult = await this.#options.writer.resolve(pending, maxResolveMs)
      if (result.verdict !== 'applied') return
      await this.#completeClaim({ key, version: result.version, request }, async () => null)
    }
    release().catch((error: Error) => log('Could not release a claim: %s.', error.message))
  }

  async #readOutcome (row: TableRow, request: KeyedRequest): Promise<ClaimResult> {
    const claim = readClaimRow(row)
    if (claim.bodyHash !== request.bodyHash) return { type: 'refused', failure: createKeyReusedFailure() }
    if (claim.state === 'running') return { type: 'refused', failure: createRunningFailure(claim.requestId) }
    if (claim.state === 'mayHaveRun') return { type: 'refused', failure: createKeyMayHaveRunFailure(claim.requestId, claim.message) }
    try {
      return { type: 'answered', answer: await readAnswer(this.#options.objects, claim.answer) }
    } catch {
      return { type: 'refused', failure: createAnswerUnavailableFailure(claim.requestId) }
    }
  }

  #createRowFields ({ bodyHash, requestId }: KeyedRequest): Pick<ClaimRow, 'bodyHash' | 'requestId' | 'hostId'> {
    return { bodyHash, requestId, hostId: this.#options.hostId }
  }
}

function validateKey ({ idempotencyKey }: KeyedRequest): RequestFailure | undefined {
  const bytes = Buffer.byteLength(idempotencyKey)
  if (bytes > 0 && bytes <= maxIdempotencyKeyBytes) return undefined
  return createNotRunFailure('idempotency_key_invalid', `the Idempotency-Key has ${bytes} bytes; expected 1 to ${maxIdempotencyKeyBytes}`, 400)
}

/** This request was not run, but an earlier one with the same key may have been, and the verdict covers both. */
function createUnavailableFailure (): RequestFailure {
  const message = 'the table did not respond, so this request was not run; it is unknown whether an earlier request with the same ' +
    'Idempotency-Key ran, so retry with the same key'
  return { ...createMayHaveRunFailure('claim_unavailable', message, 503), retryAfterMs: unavailableRetryAfterMs }
}

function createKeyReusedFailure (): RequestFailure {
  return createNotRunFailure('idempotency_key_reused', 'another request was sent with the same Idempotency-Key; use a new key for a different request', 422)
}

function createRunningFailure (requestId: string): RequestFailure {
  return {
    verdict: 'mayHaveRun',
    code: 'idempotency_key_running',
    message: `request "${requestId}" with the same Idempotency-Key is running, or may have run`,
    status: 409,
    retryAfterMs: runningRetryAfterMs
  }
}

function createKeyMayHaveRunFailure (requestId: string, message: string): RequestFailure {
  return {
    verdict: 'mayHaveRun',
    code: 'idempotency_key_may_have_run',
    message: `request "${requestId}" with the same Idempotency-Key may have run: ${message}`,
    status: 409
  }
}

function createAnswerUnavailableFailure (requestId: string): RequestFailure {
  return {
    verdict: 'ran',
    code: 'answer_unavailable',
    message: `request "${requestId}" with the same Idempotency-Key ran, but its answer cannot be read from the object store at the moment`,
    status: 503,
    retryAfterMs: unavailableRetryAfterMs
  }
}
