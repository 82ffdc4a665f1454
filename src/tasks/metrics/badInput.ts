/** Counts what clients and peers sent that was refused, by code. */

/** Codes are ours; the bound holds should one ever be made from input. */
const maxCodes = 200

export class BadInput {
  #counts = new Map<string, number>()
  #send: (code: string) => void

  /** `send` passes each count on, such as to metrics. */
  constructor (send: (code: string) => void) {
    this.#send = send
  }

  /**
   * Counts one refusal.
   *
   * @example
   * badInput.count('key_unknown')
   */
  count (code: string): void {
    const name = this.#counts.has(code) || this.#counts.size < maxCodes ? code : 'other'
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1)
    this.#send(name)
  }

  describeState (): Record<string, number> {
    return Object.fromEntries(this.#counts)
  }
}
