/** Answers without end, as a faulty endpoint sends them until its connection is closed. */
import type { Socket } from 'node:net'

interface EndlessForm {
  /** What precedes the endless bytes; the headers of a whole answer are put after the status line. */
  readonly status: string
  readonly head: string
  /** Bytes that are repeated. */
  readonly unit: string
  /** Whether new streams break off after two events, and the answer to a request that goes on with one has no end. */
  readonly isForResumed?: boolean
  /** Whether the answer states that the request was not run. */
  readonly isRefusal?: boolean
}

/** One chunk of a body without a length. */
export function formatChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

const chunked = 'transfer-encoding: chunked\r\n'
const eventOf2KB = `data: ${'x'.repeat(2000)}\n\n`
const stream = 'content-type: text/event-stream\r\n'
const events = `${stream}${chunked}`
const bigChunk = formatChunk('x'.repeat(50_000))

export const endlessForms = Object.freeze({
  bytes: { status: '200 OK', head: events, unit: formatChunk('x') },
  lines: { status: '200 OK', head: events, unit: formatChunk('x\n') },
  'line feeds and bytes': { status: '200 OK', head: events, unit: formatChunk('\nx') },
  'carriage returns': { status: '200 OK', head: events, unit: formatChunk('data: x\r') },
  comments: { status: '200 OK', head: events, unit: formatChunk(': x\n\n') },
  'empty lines': { status: '200 OK', head: events, unit: formatChunk('\n\n') },
  'ids without data': { status: '200 OK', head: events, unit: formatChunk('id: 1\n\n') },
  'bytes of a resumed stream': { status: '200 OK', head: events, unit: formatChunk('x'), isForResumed: true },
  'small pieces': { status: '200 OK', head: chunked, unit: formatChunk('x') },
  'small pieces of failures': { status: '500 Internal Server Error', head: chunked, unit: formatChunk('x') },
  'events in chunks': { status: '200 OK', head: events, unit: formatChunk(eventOf2KB) },
  'events in chunks before a close': { status: '200 OK', head: `connection: close\r\n${events}`, unit: formatChunk(eventOf2KB) },
  'events of a stated length before a close': { status: '200 OK', head: `connection: close\r\ncontent-length: 900000000\r\n${stream}`, unit: eventOf2KB },
  'events before a close': { status: '200 OK', head: `connection: close\r\n${stream}`, unit: eventOf2KB },
  'events to the end of the connection': { status: '200 OK', head: stream, unit: eventOf2KB },
  failures: { status: '500 Internal Server Error', head: chunked, unit: bigChunk },
  refusals: { status: '503 Service Unavailable', head: chunked, unit: bigChunk, isRefusal: true },
  'failures of a resumed stream': { status: '500 Internal Server Error', head: chunked, unit: bigChunk, isForResumed: true },
  'small failures of a resumed stream': { status: '500 Internal Server Error', head: chunked, unit: formatChunk('x'), isForResumed: true },
  'refusals of a resumed stream': { status: '503 Service Unavailable', head: chunked, unit: bigChunk, isForResumed: true, isRefusal: true },
  'unframed refusals of a resumed stream': { status: '503 Service Unavailable', head: 'connection: close\r\n', unit: 'x'.repeat(50_000), isForResumed: true, isRefusal: true }
} satisfies Record<string, EndlessForm>)
export type EndlessFormName = keyof typeof endlessForms

/** Who ends an endless answer: its receiver, or the endpoint, which ends its side or resets the connection. */
export type EndlessEnd = '' | 'ends' | 'resets'

/** Time after which the endpoint ends an answer. */
const endAfterMs = 900
const bytesPerInterval = 400_000
const intervalMs = 4
/** By then the receiver should have closed the connection; the rest of a test goes on without more bytes. */
const maxBytes = 12_000_000

export function isEndlessFor (name: EndlessFormName, fromEvent: number): boolean {
  const form: EndlessForm = endlessForms[name]
  return !form.isForResumed || fromEvent > 0
}

export function isEndlessRefusal (name: EndlessFormName): boolean {
  const form: EndlessForm = endlessForms[name]
  return form.isRefusal === true
}

/** Sends an answer with these headers, lines with their ends, until the connection is closed. */
export function sendEndless (socket: Socket, name: EndlessFormName, headers: string, end: EndlessEnd = ''): void {
  const form: EndlessForm = endlessForms[name]
  const bytes = Buffer.alloc(bytesPerInterval - bytesPerInterval % form.unit.length, form.unit)
  socket.write(`HTTP/1.1 ${form.status}\r\n${headers}${form.head}\r\n`)
  const startBytes = socket.bytesWritten
  const timer = setInterval(() => {
    if (socket.writableLength < bytesPerInterval && socket.bytesWritten - startBytes < maxBytes) socket.write(bytes)
  }, intervalMs)
  socket.once('close', () => clearInterval(timer))
  if (end !== '') setTimeout(() => end === 'resets' ? socket.resetAndDestroy() : endSide(socket, timer), endAfterMs)
}

function endSide (socket: Socket, timer: NodeJS.Timeout): void {
  clearInterval(timer)
  socket.end()
}
