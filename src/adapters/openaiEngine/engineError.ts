/** Error responses of engines. */

export interface EngineError {
  code: string
  message: string
}

const maxMessageChars = 200

/** Parses an OpenAI error object; any other text becomes the message of an error with the code `engine_error`. */
export function parseEngineError (text: string): EngineError {
  try {
    const { error } = JSON.parse(text) as { error?: Partial<EngineError> }
    return { code: error?.code ?? 'engine_error', message: error?.message ?? text.slice(0, maxMessageChars) }
  } catch {
    return { code: 'engine_error', message: text.slice(0, maxMessageChars) }
  }
}
