/**
 * Runs requests with an `Idempotency-Key`: the key is claimed before dispatch, the request is answered once, and its stored
 * response is replayed afterwards.
 */
import type { FastifyReply } from 'fastify'
import { createMayHaveRunFailure } from '../../schemas/verdict.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { KeyedRequest } from '../idempotency/claimRow.js'
import type { IdempotencyClaim, ClaimResult, IdempotencyClaimTask } from '../idempotency/idempotencyClaimTask.js'
import { AnswerRecorder } from './answerRecorder.js'
import { AnswerWriter } from './answerWriter.js'
import type { ValidationResult } from './callerAccess.js'
import { sendFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'
import type { AnswerEvent, RoutedRequest } from './routedRequest.js'
import type { RoutedCall, ServiceResult } from './serviceRouter.js'

/** Longest time that the end of a response is delayed until the response is stored. */
const maxStoreWaitMs = 500

/** Runs a model request under its key, or sends the outcome of the earlier request with the same key. */
export async function runKeyedCompletion (
  context: CallersContext, keyedRequest: KeyedRequest, resolved: ValidationResult<RoutedRequest>, reply: FastifyReply
): Promise<FastifyReply> {
  const result = await claimKey(context.claims, keyedRequest, resolved)
  if (result.type !== 'claimed' || !resolved.isValid) return sendOutcome(reply, result)
  reply.hijack()
  startClaimedRequest(context, result.claim, resolved.value, new AnswerRecorder(reply.raw))
  return reply
}

/** Runs a call of an HTTP service under its key, or sends the outcome of the earlier call with the same key. */
export async function runKeyedCall (
  context: CallersContext,
  keyedRequest: KeyedRequest,
  call: ValidationResult<RoutedCall>,
  reply: FastifyReply,
  sendResult: (reply: FastifyReply, result: ServiceResult) => FastifyReply
): Promise<FastifyReply> {
  const claimed = await claimKey(context.claims, keyedRequest, call)
  if (claimed.type !== 'claimed' || !call.isValid) return sendOutcome(reply, claimed)
  // The call continues if the caller disconnects; its response is stored for the next request with the same key.
  const result = await context.services.runCall(call.value, new AbortController().signal)
  const { outcome } = result
  if (outcome.type === 'failed') {
    context.claims.recordFailure(claimed.claim, outcome.failure)
    return sendResult(reply, result)
  }
  const { status, headers, body } = outcome
  const origin = { 'sedgevalve-request-id': keyedRequest.requestId, 'sedgevalve-endpoint': result.endpointId }
  await storeWithTimeout(context, claimed.claim, { status, headers: { ...headers, ...origin }, body })
  return sendResult(reply, result)
}

/**
 * Claims the key of a valid request. An invalid request claims nothing, but its key may belong to an earlier request
 * that was valid when it ran; then that request's outcome is returned.
 */
async function claimKey (claims: IdempotencyClaimTask, keyedRequest: KeyedRequest, checked: ValidationResult<unknown>): Promise<ClaimResult> {
  if (checked.isValid) return await claims.acquireClaim(keyedRequest)
  return await claims.findOutcome(keyedRequest) ?? { type: 'refused', failure: checked.failure }
}

function startClaimedRequest (context: CallersContext, claim: IdempotencyClaim, request: RoutedRequest, recorder: AnswerRecorder): void {
  const { claims, router } = context
  const cancel = (): void => {
    router.cancelRequest(request.requestId)
    claims.recordFailure(claim, createMayHaveRunFailure('answer_too_large', 'the response was too long to be stored', 502))
  }
  const writer = new AnswerWriter({ response: recorder, request, cancel })
  router.startRequest(request, event => {
    if (event.type === 'failed' && event.failure.verdict !== 'ran') claims.recordFailure(claim, event.failure)
    else if (event.type !== 'data') recorder.setBeforeEnd(async () => await storeRecorded(context, claim, recorder))
    writer.receive(event satisfies AnswerEvent)
  })
}

async function storeRecorded (context: CallersContext, claim: IdempotencyClaim, recorder: AnswerRecorder): Promise<void> {
  const answer = recorder.getAnswer()
  if (answer) await storeWithTimeout(context, claim, answer)
  else context.claims.recordFailure(claim, createMayHaveRunFailure('answer_too_large', 'the response was too long to be stored', 502))
}

/** Waits at most `maxStoreWaitMs` until the response is stored; after that, storing continues in the background. */
async function storeWithTimeout ({ claims, clock }: CallersContext, claim: IdempotencyClaim, answer: StoredAnswer): Promise<void> {
  const timeout = new Promise<void>(resolve => { clock.setTimer(resolve, maxStoreWaitMs) })
  await Promise.race([claims.storeAnswer(claim, answer), timeout])
}

function sendOutcome (reply: FastifyReply, result: ClaimResult): FastifyReply {
  if (result.type === 'refused') return sendFailure(reply, result.failure)
  if (result.type === 'claimed') throw new Error('a claimed request has no outcome yet')
  const { status, headers, body } = result.answer
  const { connection, 'transfer-encoding': encoding, 'keep-alive': keepAlive, 'content-length': length, ...replayedHeaders } = headers
  return reply.code(status).headers({ ...replayedHeaders, 'sedgevalve-replayed': 'true' }).send(Buffer.from(body))
}
