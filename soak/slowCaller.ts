/** Callers of a soak that ask for long answers, read them in their own way, and stay or leave. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { CallKind, FleetAnswer } from '../src/standin/fleet/fleetCaller.js'
import { formatLongPath, formatLongPiece, longFramings } from '../src/standin/fleet/longAnswer.js'
import type { LongAnswer, LongFramingName } from '../src/standin/fleet/longAnswer.js'
import { formatRawRequest, readRawBody } from '../src/standin/fleet/rawCaller.js'
import type { RawRequest } from '../src/standin/fleet/rawCaller.js'

const leavers = ['nobody', 'endpointEnds', 'endpointResets', 'callerCloses', 'callerResets', 'deadline'] as const
const readings = ['nothing', 'slowly', 'withStop', 'all'] as const

export interface SlowRequest {
  kind: CallKind
  /** Who ends the answer before its end. */
  leaver: typeof leavers[number]
  /** How the caller reads; `withStop`: nothing for a time after the first bytes. */
  reading: typeof readings[number]
  answer: LongAnswer
}

export interface SlowOutcome {
  request: SlowRequest
  /** What came of the body: all of it, its beginning, or other bytes. */
  received: 'whole' | 'part' | 'wrong'
  bytes: number
  /** Whether the host ended the answer as a whole success. */
  isComplete: boolean
}

export interface SlowCall {
  answer: FleetAnswer
  startedAtMs: number
  endedAtMs: number
  slow: SlowOutcome
}

const kinds: readonly CallKind[] = ['resumable', 'stream', 'idempotent', 'once']
const framings = Object.keys(longFramings) as LongFramingName[]
const endings = { endpointEnds: 'ends', endpointResets: 'resets' } as const
/** Parts of answers that are failures, whose endpoint trickles, and that have no end although the caller, or the deadline, ends them. */
const [failurePart, tricklePart, endlessPart] = [0.15, 0.2, 0.7]
/** Bodies of 40 KB to 3 MB, so that some end in buffers on the way and some do not. */
const [minPieces, maxPieces] = [20, 1500]
/** Trickled answers end within the time of the route. */
const maxTrickledPieces = 30
const deadlineMs = 1000
const callerLeavesMs = 1200
/** After this time a caller gives up on an answer that does not end. */
const givesUpMs = 6000
const [slowIntervalMs, fastIntervalMs] = [20, 4]
/** Within which a caller that stops reading reads nothing, after the first byte. */
const [stopFromMs, stopToMs] = [60, 1200]

/**
 * Draws the framing of a long answer, who ends it, and how its caller reads.
 *
 * @example
 * drawSlowRequest(createRandom(7)).answer.framing // 'closeChunks'
 */
export function drawSlowRequest (random: () => number): SlowRequest {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!
  const [kind, leaver, drawnReading, framing] = [pick(kinds), pick(leavers), pick(readings), pick(framings)]
  const trickles = random() < tricklePart
  const isEndless = random() < endlessPart && leaver !== 'nobody'
  const drawnPieces = Math.round(minPieces * (maxPieces / minPieces) ** random())
  const pieces = isEndless ? 0 : trickles ? Math.min(drawnPieces, maxTrickledPieces) : drawnPieces
  const end = leaver === 'endpointEnds' || leaver === 'endpointResets' ? endings[leaver] : ''
  // A caller that waits for a whole answer has to read it.
  const reading = leaver === 'nobody' && drawnReading === 'nothing' ? 'slowly' : drawnReading
  return { kind, leaver, reading, answer: { framing, status: random() < failurePart ? 500 : 200, pieces, end, trickles } }
}

/**
 * Sends a request on a connection of its own; undefined where the host takes no connection.
 *
 * @example
 * const call = await sendSlowRequest('127.0.0.1:8080', drawSlowRequest(random), { requestId })
 */
export async function sendSlowRequest (address: string, request: SlowRequest, raw: Omit<RawRequest, 'kind'> & { requestId: string }): Promise<SlowCall | undefined> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  if (!await new Promise<boolean>(resolve => socket.once('connect', () => resolve(true)).once('error', () => resolve(false)))) return undefined
  const startedAtMs = performance.now()
  const { kind, leaver, answer: long } = request
  socket.write(formatRawRequest({ timeLeftMs: leaver === 'deadline' ? deadlineMs : 12_000, body: `question ${raw.requestId}`, path: formatLongPath(long), ...raw, kind }))
  const { text, isEnded } = await readPaced(socket, request)
  const endedAtMs = performance.now()
  const { status, body, isWhole } = decodeResponse(text, isEnded)
  const answer: FleetAnswer = { requestId: raw.requestId, kind, status, body: '', signature: undefined, retryAfterS: undefined, error: isWhole ? undefined : 'the answer broke off', tookMs: endedAtMs - startedAtMs }
  return { answer, startedAtMs, endedAtMs, slow: { request, bytes: body.length, received: status === 200 ? compareBody(raw.requestId, body, long.pieces) : 'part', isComplete: isWhole && status === 200 } }
}

/** Resolves when the answer or its connection has ended, or the caller has left. */
async function readPaced (socket: Socket, { reading, leaver }: SlowRequest): Promise<{ text: string, isEnded: boolean }> {
  let [text, isEnded, firstAtMs] = ['', false, Infinity]
  socket.setEncoding('latin1')
  const read = (): void => {
    const sinceMs = performance.now() - firstAtMs
    if (reading === 'nothing' || (reading === 'withStop' && sinceMs > stopFromMs && sinceMs < stopToMs)) return
    const chunk = socket.read() as string | null
    if (chunk === null) return
    firstAtMs = Math.min(firstAtMs, performance.now())
    text += chunk
    if (isAnswerEnd(text, chunk)) socket.destroy()
  }
  const stayMs = leaver === 'callerCloses' || leaver === 'callerResets' ? callerLeavesMs : givesUpMs
  const timer = setTimeout(() => leaver === 'callerResets' ? socket.resetAndDestroy() : socket.destroy(), stayMs)
  const interval = setInterval(read, reading === 'slowly' ? slowIntervalMs : fastIntervalMs)
  await new Promise<void>(resolve => socket.on('error', () => {}).once('close', () => resolve()).once('end', () => {
    isEnded = true
    socket.destroy()
  }))
  clearInterval(interval)
  clearTimeout(timer)
  return { text, isEnded }
}

/** Neither heads nor pieces contain what ends a body of chunks. */
function isAnswerEnd (text: string, chunk: string): boolean {
  if (text.length > chunk.length + 65_536 && !/^content-length:/im.test(text.slice(0, 4096))) return text.slice(-7) === '\r\n0\r\n\r\n'
  const { isWhole } = decodeResponse(text, false)
  return isWhole
}

function decodeResponse (text: string, isEnded: boolean): { status: number, body: string, isWhole: boolean } {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, body: '', isWhole: false }
  const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = text.slice(headEnd + 4)
  const isFramed = headers.has('content-length') || headers.has('transfer-encoding')
  const { text: body, isWhole } = isFramed ? readRawBody(rest, headers) : { text: rest, isWhole: isEnded }
  return { status: Number(statusLine.split(' ')[1]), body, isWhole }
}

/** `pieces`: 0 for a body without end. */
function compareBody (requestId: string, body: string, pieces: number): SlowOutcome['received'] {
  let [position, id] = [0, 0]
  const last = pieces === 0 ? Infinity : pieces
  for (; position < body.length && id < last; position += formatLongPiece(requestId, id).length) {
    const piece = formatLongPiece(requestId, ++id)
    if (!piece.startsWith(body.slice(position, position + piece.length))) return 'wrong'
  }
  if (position < body.length) return 'wrong'
  return id === pieces && position === body.length ? 'whole' : 'part'
}
