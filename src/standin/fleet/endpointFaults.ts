/** The faults of an endpoint of a stand-in fleet. */
import type { EndlessEnd, EndlessFormName } from './endlessAnswer.js'
import type { EventSpoiling } from './spoilEvent.js'

/** Parts from 0 to 1 of the requests or orders that a fault strikes. */
export interface EndpointFaults {
  /** Takes connections and answers nothing. */
  isDark: boolean
  /** Requests that are run and answered with 500. */
  errors: number
  /** Answers that break off by a reset. */
  cuts: number
  /** Streams that run break off by a reset inside their next event. */
  breaksStreams: boolean
  /** Requests that are run and never answered. */
  silentRuns: number
  /** Answers, streams too, that stop in the middle of their head. */
  headCuts: number
  /** Whether the connection of a cut head is reset rather than closed. */
  resetsHeads: boolean
  /** Answers, streams too, with neither a length nor chunks that end with their connection. */
  unframed: number
  /** HTTP version that unframed answers state. */
  unframedVersion: '1.0' | '1.1'
  /** Unframed answers that are reset before their last bytes or, where they are streams, end inside an event. */
  unframedCuts: number
  /** Unframed streams that end before their first event. */
  emptyStreams: number
  /** Interval of comments in the silence of a stream; 0 for none. */
  commentMs: number
  /** Status line that requests are answered with, after the HTTP version, such as `600 Odd`; empty for the usual one. */
  status: string
  /** Requests are answered with a success that has neither a length nor chunks, and is reset while their body still arrives. */
  cutsUploads: boolean
  /** Requests are answered with bytes that never end; empty for none. */
  endless: EndlessFormName | ''
  endlessEnd: EndlessEnd
  /** Streams in which one event has a wrong id, and what is wrong about it. */
  spoiledIds: number
  spoiling: EventSpoiling
  /** The event that is spoiled. */
  spoiledEvent: number
  /** Whole answers after which a second one comes. */
  extras: number
  /** Orders that get no answer and are carried out late. */
  lateOrders: number
  /** Time that plain answers take beyond the usual. */
  extraMs: number
  /** Time between two events of streams that begin now; 0 for the engine's own. */
  eventMs: number
  /** Streams send nothing for this long after their second event, and then go on. */
  silenceMs: number
  /** Time between two bytes of streams that send one byte now and then and never end; 0 for none. */
  trickleMs: number
  /** A request with this body crashes the endpoint that begins to run it; empty for none. */
  crashBody: string
  /** Requests with one of these prompt parts, other than as the last one, crash the engine that begins to write their answer. */
  crashParts: readonly string[]
  /** The adapter on which they do so; empty for all. */
  crashAdapter: string
  /** Time from a crash to the next start, in which connections are refused; 0 for a start at once. */
  downMs: number
  /** Every answer says that the endpoint leaves. */
  isLeaving: boolean
  /** Requests are rejected as if the endpoint were full, with this as the time to come back; empty for none. */
  retryAfter: string
  /**
   * Refuses the first request on each connection, and writes that refusal once more before it answers each later one, as the
   * endpoint wrote it (`same`) or without the request's id (`unnamed`); empty for none.
   */
  repeatedRefusals: '' | 'same' | 'unnamed'
  /** Every answer says that the endpoint bears so many rejections a second; it lets none wait, and crashes beyond them; empty for none. */
  brittle: string
  /** Every answer names this as the requests a second that the endpoint takes; empty for none. */
  limit: string
  /** Every response of a plain service reports its load with this as how many times as long as usual work takes, as it then does; 0 for no load header. */
  slowness: number
}

/** The faults that are given as a part of the requests or orders. */
export type FaultShare = 'errors' | 'cuts' | 'silentRuns' | 'headCuts' | 'unframed' | 'unframedCuts' | 'emptyStreams' | 'spoiledIds' | 'extras' | 'lateOrders'

export const noEndpointFaults: Readonly<EndpointFaults> = Object.freeze({ isDark: false, errors: 0, cuts: 0, breaksStreams: false, silentRuns: 0, headCuts: 0, resetsHeads: false, unframed: 0, unframedVersion: '1.1', unframedCuts: 0, emptyStreams: 0, status: '', cutsUploads: false, endless: '', endlessEnd: '', spoiledIds: 0, spoiling: 'higher', spoiledEvent: 3, extras: 0, lateOrders: 0, extraMs: 0, eventMs: 0, silenceMs: 0, commentMs: 0, trickleMs: 0, crashBody: '', crashParts: [], crashAdapter: '', downMs: 0, isLeaving: false, retryAfter: '', repeatedRefusals: '', brittle: '', limit: '', slowness: 0 })
