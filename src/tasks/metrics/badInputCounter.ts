/** Counts rejected input from clients and peers by error code. */

/** Error codes are defined in this project; the limit bounds the memory if a code is ever derived from input. */
const maxCodes = 200

export class BadInputCounter {
  #counts = new Map<string, number>()
  #receiveCode: (code: string) => void

  /** `receiveCode` is called with the code of each rejection, for example to update a metric. */
  constructor (receiveCode: (code: string) => void) {
    this.#receiveCode = receiveCode
  }

  /**
   * Counts one rejection. Once `maxCodes` codes are known, further ones are counted as `other`.
   *
   * @example
   * badInput.count('key_unknown')
   */
  count (code: string): void {
    const countedCode = this.#counts.has(code) || this.#counts.size < maxCodes ? code : 'other'
    this.#counts.set(countedCode, (this.#counts.get(countedCode) ?? 0) + 1)
    this.#receiveCode(countedCode)
  }

  /** Returns the counts by code. */
  describeState (): Record<string, number> {
    return Object.fromEntries(this.#counts)
  }
}
