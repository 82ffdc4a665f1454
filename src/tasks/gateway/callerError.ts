/** Renders errors for callers: in the format of the OpenAI API, with the verdict in the body and in a header. */
import type { RequestFailure } from '../../schemas/verdict.js'

const callerVerdicts = { notRun: 'not-run', ran: 'ran', mayHaveRun: 'may-have-run' } as const

/** Renders the JSON body of an error. */
export function renderErrorBody (failure: RequestFailure): string {
  return JSON.stringify({
    error: {
      message: failure.message,
      type: formatErrorType(failure.status),
      param: null,
      code: failure.code,
      verdict: callerVerdicts[failure.verdict]
    }
  })
}

/** Renders the headers of an error response: the verdict and, if known, `Retry-After` in whole seconds, at least 1. */
export function renderErrorHeaders (failure: RequestFailure): Record<string, string> {
  const headers: Record<string, string> = { 'sedgevalve-verdict': callerVerdicts[failure.verdict] }
  if (failure.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000)))
  return headers
}

function formatErrorType (status: number): string {
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}
