/** Sends streamed requests and measures their answers. */
import type { Pool } from 'undici'

export interface StreamResult {
  isWhole: boolean
  status: number
  tokens: number
  /** From sending to the first part of the answer, in milliseconds. */
  firstTokenMs: number
}

/** Streams one answer; the parts are counted, not kept. */
export async function streamAnswer (pool: Pool, headers: Record<string, string>, model: string, maxTokens: number): Promise<StreamResult> {
  const startedMs = performance.now()
  const body = JSON.stringify({ model, stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: 'How do I turn left?' }] })
  return await new Promise<StreamResult>((resolve, reject) => {
    const result: StreamResult = { isWhole: false, status: 0, tokens: 0, firstTokenMs: 0 }
    pool.dispatch({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', ...headers },
      body
    }, {
      onRequestStart: () => {},
      onResponseStart: (_controller, status) => { result.status = status },
      onResponseData: (_controller, chunk) => {
        if (result.firstTokenMs === 0) result.firstTokenMs = performance.now() - startedMs
        result.tokens += countEvents(chunk)
        if (chunk.includes('[DONE]')) result.isWhole = true
      },
      onResponseEnd: () => resolve({ ...result, tokens: result.tokens - (result.isWhole ? 1 : 0) }),
      onResponseError: (_controller, error) => reject(error)
    })
  })
}

const lineFeed = 10

/** Counts the ends of events; an end that is split between chunks is counted with its first half. */
function countEvents (chunk: Buffer): number {
  let count = 0
  for (let index = chunk.indexOf(lineFeed); index >= 0; index = chunk.indexOf(lineFeed, index + 1)) {
    if (chunk[index - 1] !== lineFeed) count++
  }
  return count
}
