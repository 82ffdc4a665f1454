/** Runs a request for which nobody waits on a connection, and collects its whole answer. */
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { AnswerRecorder } from './answerRecorder.js'
import { AnswerWriter } from './answerWriter.js'
import type { RoutedRequest, SendAnswer } from './routedRequest.js'

/**
 * Resolves to the answer as a caller would have got it, or to the failure.
 *
 * @example
 * const end = await collectAnswer(request, send => router.startRequest(request, send), () => router.cancelRequest(request.requestId))
 */
export async function collectAnswer (
  request: RoutedRequest, start: (send: SendAnswer) => void, cancel: () => void
): Promise<StoredAnswer | RequestFailure> {
  return await new Promise(resolve => {
    const recorder = new AnswerRecorder()
    const giveUp = (): void => {
      cancel()
      resolve({ verdict: 'ran', code: 'answer_too_large', message: 'the answer is too long to be kept', status: 502 })
    }
    const writer = new AnswerWriter({ response: recorder, request, cancel: giveUp })
    start(event => {
      if (event.type === 'failed') {
        resolve(event.failure)
        return
      }
      writer.receive(event)
      if (event.type === 'end') resolve(recorder.readAnswer()!)
    })
  })
}
