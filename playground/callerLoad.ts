/** Requests as callers send them, with what each caller was told. */
import { exampleCallerKey } from '../src/bin/exampleRecords.js'

export interface CallOptions {
  /** `http://ip:port` of a gateway. */
  url: string
  /** `adapter` or `adapter@version`. */
  model: string
  maxTokens: number
  isStream: boolean
  prompt: string
  className?: string
  /** Aborted when the caller hangs up. */
  signal?: AbortSignal
  /** Called when the first part of a streamed answer has come. */
  receiveFirstPart?: () => void
}

/** What a caller was told about one request. */
export interface CallResult {
  asked: CallOptions
  /** Empty where no answer came. */
  requestId: string
  /** 0 where no answer came. */
  status: number
  /** `adapter@version` by the headers. */
  model: string
  /** `not-run`, `ran` or `may-have-run`; empty for a whole answer. */
  verdict: string
  code: string
  /** The texts of the answer, in order. */
  texts: string[]
  /** Whether the answer says that it is whole. */
  isWhole: boolean
}

/** A request that has no last event by then counts as lost. */
const maxCallMs = 40_000
const doneEvent = 'data: [DONE]'
const errorEvent = 'event: error'

/** Sends one request and reads its answer to the end; a broken connection leaves an answer that is neither whole nor an error. */
export async function sendCall (options: CallOptions): Promise<CallResult> {
  const result: CallResult = {
    asked: options, requestId: '', status: 0, model: '', verdict: '', code: '', texts: [], isWhole: false
  }
  try {
    const response = await fetch(`${options.url}/v1/completions`, {
      method: 'POST',
      signal: AbortSignal.any([AbortSignal.timeout(maxCallMs), ...options.signal ? [options.signal] : []]),
      headers: createHeaders(options.className),
      body: JSON.stringify({ model: options.model, prompt: options.prompt, max_tokens: options.maxTokens, stream: options.isStream })
    })
    readHeaders(result, response)
    readBody(result, await readText(response, options.receiveFirstPart))
  } catch {
    // The connection broke; the result says what had come.
  }
  return result
}

function createHeaders (className: string | undefined): Record<string, string> {
  return {
    authorization: `Bearer ${exampleCallerKey}`,
    'content-type': 'application/json',
    ...(className !== undefined && { 'sedgevalve-class': className })
  }
}

function readHeaders (result: CallResult, { status, headers }: Response): void {
  result.status = status
  result.requestId = headers.get('sedgevalve-request-id') ?? ''
  result.model = `${headers.get('sedgevalve-adapter')}@${headers.get('sedgevalve-version')}`
  result.verdict = headers.get('sedgevalve-verdict') ?? ''
}

async function readText (response: Response, receiveFirstPart: (() => void) | undefined): Promise<string> {
  let text = ''
  const decoder = new TextDecoder()
  for await (const chunk of response.body ?? []) {
    if (text === '') receiveFirstPart?.()
    text += decoder.decode(chunk as Uint8Array, { stream: true })
  }
  return text
}

interface AnswerBody {
  choices?: Array<{ text: string }>
  error?: { code: string, verdict?: string }
}

function readBody (result: CallResult, text: string): void {
  if (!text.startsWith('data:') && !text.startsWith(errorEvent)) {
    readWhole(result, JSON.parse(text) as AnswerBody)
    return
  }
  for (const event of text.split('\n\n')) {
    if (event.startsWith(doneEvent)) result.isWhole = true
    else if (event.startsWith('data: ')) result.texts.push(...readTexts(JSON.parse(event.slice('data: '.length)) as AnswerBody))
    else if (event.startsWith(errorEvent)) readError(result, JSON.parse(event.slice(event.indexOf('data: ') + 'data: '.length)) as AnswerBody)
  }
}

function readWhole (result: CallResult, body: AnswerBody): void {
  if (body.error) {
    readError(result, body)
    return
  }
  result.isWhole = result.status === 200
  result.texts.push(...readTexts(body).flatMap(text => text.split(/(?= t\d)/)))
}

function readError (result: CallResult, { error }: AnswerBody): void {
  result.code = error?.code ?? ''
  if (result.verdict === '') result.verdict = error?.verdict ?? 'may-have-run'
}

function readTexts (body: AnswerBody): string[] {
  return body.choices?.map(choice => choice.text) ?? []
}

export interface LoadOptions {
  /** Requests under way at once. */
  parallel: number
  count: number
  /** Makes the n-th request. */
  createCall: (index: number) => CallOptions
}

/** Sends requests, so many at once; resolves to all that their callers were told. */
export async function runLoad ({ parallel, count, createCall }: LoadOptions): Promise<CallResult[]> {
  const results: CallResult[] = []
  let next = 0
  const runOne = async (): Promise<void> => {
    while (next < count) results.push(await sendCall(createCall(next++)))
  }
  await Promise.all(Array.from({ length: parallel }, runOne))
  return results
}
