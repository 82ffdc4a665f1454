/** Lets the suspects of one endpoint run one at a time, so that a crash tells which of them caused it. */

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
}
