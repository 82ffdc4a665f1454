/** Lets the suspects of one endpoint run one at a time, so that a crash tells which of them caused it. */
import { createCrashRefusal } from '../../core/suspects.js'
import type { SuspectState } from '../../core/suspects.js'
import type { Dispatch } from '../../schemas/peerMessage.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { createSuspectHeld } from './endpointRefusals.js'

/** An engine that went away. */
export interface EndpointCrash {
  endpointId: string
  incarnation: string
  /** Fingerprints of the requests that ran. */
  fingerprints: string[]
}

export class SuspectGate<T> {
  #current: T | undefined
  #held: T[] = []

  /** Whether the suspect may run now; otherwise it is held until those before it have left. */
  mayEnter (suspect: T): boolean {
    if (this.#current === undefined) {
      this.#current = suspect
      return true
    }
    this.#held.push(suspect)
    return false
  }

  /** Forgets a suspect, running or held; returns the one that may run now in its place. */
  leave (suspect: T): T | undefined {
    if (this.#current !== suspect) {
      this.#held = this.#held.filter(held => held !== suspect)
      return undefined
    }
    this.#current = this.#held.shift()
    return this.#current
  }

  /** Another request with the same content may have crashed endpoints while this one was queued. */
  findObstacle (
    suspect: T, dispatch: Dispatch, findSuspectState: (fingerprint: string) => SuspectState
  ): RequestFailure | undefined {
    const state = findSuspectState(dispatch.fingerprint)
    if (state === 'refused') return createCrashRefusal()
    if (state === 'clear' || dispatch.isSuspect) return undefined
    if (this.#current !== undefined) return createSuspectHeld(dispatch.endpointId)
    this.#current = suspect
    dispatch.isSuspect = true
    return undefined
  }
}
