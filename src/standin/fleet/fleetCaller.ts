/** Calls hosts as callers of a stand-in fleet do, and judges what they get. */
import { randomBytes } from 'node:crypto'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { encodeCallerRequestHeaders, decodeResponseHeaders } from '../../platform/standinWire.js'
import { countEvents } from './endpointBytes.js'
import { fleetHost, fleetModel, fleetPaths } from './startFleet.js'

export type CallKind = keyof typeof fleetPaths

export interface FleetAnswer {
  requestId: string
  kind: CallKind
  /** 0 where no answer began. */
  status: number
  body: string
  signature: string | undefined
  retryAfterS: number | undefined
  /** Set where the answer broke off. */
  error: string | undefined
  tookMs: number
}

export interface FleetCall {
  kind: CallKind
  /** `ip:port` of the host's callers' port. */
  address: string
  adapter?: string
  timeLeftMs?: number
  requestId?: string
  headers?: Record<string, string>
  body?: string
  /** Prompt parts as they are written in the header, such as `aa01:100,bb02:50`; a part of its own if left out. */
  promptParts?: string
  signal?: AbortSignal
  /** Time after which the caller leaves a stream, though not before an event has come. */
  leaveAfterMs?: number
  /** Time without a byte of the body after which the caller leaves. */
  maxSilenceMs?: number
}

/** Keeps connections to hosts open between calls. */
export class FleetCaller {
  #agent = new Agent({ connections: 64, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

  async call ({ kind, address, adapter, timeLeftMs = 4000, requestId = createRequestId(), headers = {}, body = 'a question', promptParts, signal, leaveAfterMs, maxSilenceMs }: FleetCall): Promise<FleetAnswer> {
    const startedAtMs = performance.now()
    const answer: FleetAnswer = { requestId, kind, status: 0, body: '', signature: undefined, retryAfterS: undefined, error: undefined, tookMs: 0 }
    const leaving = new AbortController()
    const leaveIfBegun = (): void => { if (listEventIds(answer).length > 0) leaving.abort(new Error('the caller left')) }
    let isLeaving = false
    const leaveTimer = leaveAfterMs === undefined
      ? undefined
      : setTimeout(() => {
        isLeaving = true
        leaveIfBegun()
      }, leaveAfterMs)
    try {
      const response = await request(`http://${address}${fleetPaths[kind]}x`, {
        dispatcher: this.#agent as Dispatcher,
        method: kind === 'idempotent' ? 'GET' : 'POST',
        headers: { ...encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs, ...(isStreamed(kind) && { model: adapter ? `${fleetModel}/${adapter}` : fleetModel, ...(promptParts !== undefined && { promptParts }) }) }), ...headers },
        ...(kind !== 'idempotent' && { body }),
        ...(signal && { signal }),
        ...(leaveAfterMs !== undefined && { signal: leaving.signal }),
        ...(maxSilenceMs !== undefined && { bodyTimeout: maxSilenceMs })
      })
      const marks = decodeResponseHeaders(response.headers)
      answer.status = response.statusCode
      answer.signature = marks.signature
      answer.retryAfterS = marks.retryAfterS
      for await (const chunk of response.body) {
        answer.body += (chunk as Buffer).toString('utf8')
        if (isLeaving) leaveIfBegun()
        leaving.signal.throwIfAborted()
      }
    } catch (error) {
      answer.error = (error as Error).message
    }
    clearTimeout(leaveTimer)
    answer.tookMs = performance.now() - startedAtMs
    return answer
  }

  /** Status of a plain request to any path of the fleet's host. Rejects where no answer comes. */
  async readStatus (address: string, path: string, { requestId = createRequestId(), signal }: Pick<FleetCall, 'requestId' | 'signal'> = {}): Promise<number> {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      dispatcher: this.#agent as Dispatcher,
      headers: encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs: 1000 }),
      ...(signal && { signal })
    })
    await body.dump()
    return statusCode
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

export function createRequestId (): string {
  return randomBytes(8).toString('hex')
}

export function isStreamed (kind: CallKind): boolean {
  return kind === 'stream' || kind === 'resumable'
}

/** Ids of the events that arrived whole, in order. */
export function listEventIds (answer: FleetAnswer): number[] {
  return [...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
}

/** Whether the caller has to take the answer for a whole success. */
export function looksWhole (answer: FleetAnswer): boolean {
  return answer.status === 200 && answer.error === undefined
}

/** Whether the answer is the endpoint's own, from its first byte to its last. */
export function isWhole (answer: FleetAnswer): boolean {
  if (!looksWhole(answer) || answer.signature === undefined) return false
  if (!isStreamed(answer.kind)) return answer.body === `done ${answer.requestId}`
  const ids = listEventIds(answer)
  return ids.length === countEvents(answer.requestId) && ids.every((id, index) => id === index + 1)
}
