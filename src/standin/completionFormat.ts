/** The bodies of requests and answers of a stand-in engine, in the OpenAI conventions. */

export interface CompletionBody {
  model: string
  stream?: boolean
  max_tokens?: number
  prompt?: unknown
  messages?: unknown
}

export interface WholeAnswer {
  model: string
  text: string
  promptTokens: number
  completionTokens: number
}

/** Every token names the handle and its place, so that a mixed-up answer shows. */
export function formatToken (handle: string, requestId: string, index: number): string {
  return index === 0 ? `[${handle} ${requestId}]` : ` t${index}`
}

/** Formats one event of a stream; `id` counts the events of the stream from 0. */
export function formatEvent (id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`
}

export function formatChunk (isChat: boolean, model: string, text: string): string {
  return JSON.stringify(isChat
    ? { object: 'chat.completion.chunk', model, choices: [{ index: 0, delta: { content: text } }] }
    : { object: 'text_completion', model, choices: [{ index: 0, text }] })
}

export function formatWhole (isChat: boolean, answer: WholeAnswer): string {
  const { model, text, promptTokens, completionTokens } = answer
  const usage = { prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens }
  return JSON.stringify(isChat
    ? { object: 'chat.completion', model, choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }], usage }
    : { object: 'text_completion', model, choices: [{ index: 0, text, finish_reason: 'stop' }], usage })
}
