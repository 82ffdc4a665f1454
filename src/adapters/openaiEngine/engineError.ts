/** Errors as engines tell them. */

export interface EngineError {
  code: string
  message: string
}

const maxMessageLength = 200

/** Reads the OpenAI error shape; anything else becomes an error named `engine_error`. */
export function parseEngineError (text: string): EngineError {
  try {
    const { error } = JSON.parse(text) as { error?: Partial<EngineError> }
    return { code: error?.code ?? 'engine_error', message: error?.message ?? text.slice(0, maxMessageLength) }
  } catch {
    return { code: 'engine_error', message: text.slice(0, maxMessageLength) }
  }
}
