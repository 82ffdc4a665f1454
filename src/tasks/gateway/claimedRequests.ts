/** Runs requests that carry an `Idempotency-Key`: claimed before dispatch, answered once, replayed afterwards. */
import type { FastifyReply } from 'fastify'
import { createMayHaveRun } from '../../schemas/verdict.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { ClaimedWork } from '../claims/claimRow.js'
import type { Claim, ClaimResult, ClaimTask } from '../claims/claimTask.js'
import { AnswerRecorder } from './answerRecorder.js'
import { AnswerWriter } from './answerWriter.js'
import type { Checked } from './callerAccess.js'
import { sendFailure } from './callersContext.js'
import type { CallersContext } from './callersContext.js'
import type { AnswerEvent, RoutedRequest } from './routedRequest.js'
import type { RoutedCall, ServiceResult } from './serviceRouter.js'

/** An answer waits this long to be stored before its caller sees the end of it. */
const maxStoreWaitMs = 500

/** Runs a request for a model under its key, or sends what became of the earlier one. */
export async function runClaimedCompletion (
  context: CallersContext, work: ClaimedWork, resolved: Checked<RoutedRequest>, reply: FastifyReply
): Promise<FastifyReply> {
  const result = await claimWork(context.claims, work, resolved)
  if (result.type !== 'claimed' || !resolved.isValid) return sendOutcome(reply, result)
  reply.hijack()
  startClaimed(context, result.claim, resolved.value, new AnswerRecorder(reply.raw))
  return reply
}

/** Runs a call of a plain service under its key, or sends what became of the earlier one. */
export async function runClaimedCall (
  context: CallersContext,
  work: ClaimedWork,
  call: Checked<RoutedCall>,
  reply: FastifyReply,
  sendResult: (reply: FastifyReply, result: ServiceResult) => FastifyReply
): Promise<FastifyReply> {
  const claimed = await claimWork(context.claims, work, call)
  if (claimed.type !== 'claimed' || !call.isValid) return sendOutcome(reply, claimed)
  // The caller may go; the call goes on, and its answer waits for the next request with the key.
  const result = await context.services.runCall(call.value, new AbortController().signal)
  const { outcome } = result
  if (outcome.type === 'failed') {
    context.claims.settleFailure(claimed.claim, outcome.failure)
    return sendResult(reply, result)
  }
  const { status, headers, body } = outcome
  const origin = { 'sedgevalve-request-id': work.requestId, 'sedgevalve-endpoint': result.endpointId }
  await storeForAWhile(context, claimed.claim, { status, headers: { ...headers, ...origin }, body })
  return sendResult(reply, result)
}

/** What is wrong in itself is not claimed; but its key may stand for work that ran when it was right. */
async function claimWork (claims: ClaimTask, work: ClaimedWork, checked: Checked<unknown>): Promise<ClaimResult> {
  if (checked.isValid) return await claims.takeClaim(work)
  return await claims.findOutcome(work) ?? { type: 'refused', failure: checked.failure }
}

function startClaimed (context: CallersContext, claim: Claim, request: RoutedRequest, recorder: AnswerRecorder): void {
  const { claims, router } = context
  const cancel = (): void => {
    router.cancelRequest(request.requestId)
    claims.settleFailure(claim, createMayHaveRun('answer_too_large', 'the answer was too long to be kept', 502))
  }
  const writer = new AnswerWriter({ response: recorder, request, cancel })
  router.startRequest(request, event => {
    if (event.type === 'failed' && event.failure.verdict !== 'ran') claims.settleFailure(claim, event.failure)
    else if (event.type !== 'data') recorder.setBeforeEnd(async () => await storeRecorded(context, claim, recorder))
    writer.receive(event satisfies AnswerEvent)
  })
}

async function storeRecorded (context: CallersContext, claim: Claim, recorder: AnswerRecorder): Promise<void> {
  const answer = recorder.readAnswer()
  if (answer) await storeForAWhile(context, claim, answer)
  else context.claims.settleFailure(claim, createMayHaveRun('answer_too_large', 'the answer was too long to be kept', 502))
}

/** Storing goes on behind the answer where the table is slow. */
async function storeForAWhile ({ claims, clock }: CallersContext, claim: Claim, answer: StoredAnswer): Promise<void> {
  const waited = new Promise<void>(resolve => { clock.setTimer(resolve, maxStoreWaitMs) })
  await Promise.race([claims.storeAnswer(claim, answer), waited])
}

function sendOutcome (reply: FastifyReply, result: ClaimResult): FastifyReply {
  if (result.type === 'refused') return sendFailure(reply, result.failure)
  if (result.type === 'claimed') throw new Error('a claimed request has no outcome yet')
  const { status, headers, body } = result.answer
  const { connection, 'transfer-encoding': encoding, 'keep-alive': keepAlive, 'content-length': length, ...kept } = headers
  return reply.code(status).headers({ ...kept, 'sedgevalve-replayed': 'true' }).send(Buffer.from(body))
}
