/** The faults that can be switched on in a stand-in engine. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

const countSchema = Type.Integer({ minimum: 0 })

/** A change of the switches; what is left out stays as it is. */
export const faultChangeSchema = Type.Object({
  /** The next loads fail, of one adapter where it is named. */
  failLoads: Type.Optional(Type.Object({ count: countSchema, adapter: Type.Optional(Type.String()) })),
  /** Whether orders with an old fencing number are refused. */
  fencing: Type.Optional(Type.Union([Type.Literal('refuse'), Type.Literal('ignore')])),
  /** A request whose prompt contains the marker restarts the engine; an empty marker switches this off. */
  crashMarker: Type.Optional(Type.String()),
  /** The next requests are accepted and get nothing. */
  stallRequests: Type.Optional(countSchema),
  /** The connections of the next requests are cut after this many tokens. */
  cutStreams: Type.Optional(Type.Object({ count: countSchema, afterTokens: countSchema })),
  /** The next streams send each frame twice. */
  duplicateFrames: Type.Optional(countSchema),
  /** The next streams send every second frame after its successor. */
  lateFrames: Type.Optional(countSchema),
  /** Age of what the load report tells. */
  reportLagMs: Type.Optional(Type.Number({ minimum: 0 })),
  /** Restarts the engine empty at once and cuts all its connections. */
  restart: Type.Optional(Type.Boolean()),
  /** The list of hosts shows the engine as leaving, or as live again. */
  leaving: Type.Optional(Type.Boolean())
}, { additionalProperties: false })
export type FaultChange = Static<typeof faultChangeSchema>

/** What goes wrong with one stream. */
export interface StreamFaults {
  isStalled: boolean
  /** Undefined where the connection is not cut. */
  cutAfterTokens: number | undefined
  isDuplicated: boolean
  isLate: boolean
}

/** Holds the switches; `take` methods use a counted fault up. */
export class EngineFaults {
  #change: FaultChange = {}

  /** Sets the switches that the change names. */
  apply (change: FaultChange): void {
    this.#change = { ...this.#change, ...structuredClone(change) }
  }

  get isFencingIgnored (): boolean {
    return this.#change.fencing === 'ignore'
  }

  get reportLagMs (): number {
    return this.#change.reportLagMs ?? 0
  }

  hasCrashMarker (text: string): boolean {
    const { crashMarker = '' } = this.#change
    return crashMarker !== '' && text.includes(crashMarker)
  }

  takeLoadFailure (handle: string): boolean {
    const { failLoads } = this.#change
    if (!failLoads || failLoads.count === 0) return false
    if (failLoads.adapter !== undefined && !handle.startsWith(`${failLoads.adapter}@`)) return false
    failLoads.count--
    return true
  }

  /** A whole answer has no frames to double or delay. */
  takeStreamFaults (isStream: boolean): StreamFaults {
    const { cutStreams } = this.#change
    const isCut = cutStreams !== undefined && cutStreams.count > 0
    if (isCut) cutStreams.count--
    return {
      isStalled: this.#takeOne('stallRequests'),
      cutAfterTokens: isCut ? cutStreams.afterTokens : undefined,
      isDuplicated: isStream && this.#takeOne('duplicateFrames'),
      isLate: isStream && this.#takeOne('lateFrames')
    }
  }

  #takeOne (name: 'stallRequests' | 'duplicateFrames' | 'lateFrames'): boolean {
    const count = this.#change[name] ?? 0
    if (count === 0) return false
    this.#change[name] = count - 1
    return true
  }
}
