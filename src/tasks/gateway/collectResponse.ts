/** Runs a request for which no caller waits on a connection, and collects its complete response. */
import type { StoredAnswer } from '../../schemas/storedAnswer.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { AnswerRecorder } from './answerRecorder.js'
import { AnswerWriter } from './answerWriter.js'
import type { RoutedRequest, SendAnswer } from './routedRequest.js'

/**
 * Resolves to the response as a caller would have received it, or to the failure.
 *
 * @example
 * const result = await collectResponse(request, send => router.startRequest(request, send), () => router.cancelRequest(request.requestId))
 */
export async function collectResponse (
  request: RoutedRequest, start: (send: SendAnswer) => void, cancel: () => void
): Promise<StoredAnswer | RequestFailure> {
  return await new Promise(resolve => {
    const recorder = new AnswerRecorder()
    const cancelAsTooLarge = (): void => {
      cancel()
      resolve({ verdict: 'ran', code: 'answer_too_large', message: 'the response is too long to be stored', status: 502 })
    }
    const writer = new AnswerWriter({ response: recorder, request, cancel: cancelAsTooLarge })
    start(event => {
      if (event.type === 'failed') {
        resolve(event.failure)
        return
      }
      writer.receive(event)
      if (event.type === 'end') resolve(recorder.getAnswer()!)
    })
  })
}
