/** Counts the answers to each request fingerprint, so that frequent requests are not suspected of crashing endpoints. */

/**
 * A request that was answered this often is not the cause when an endpoint ends while it runs. By chance, one that does crash
 * endpoints is rarely answered more often than this.
 */
const minTrustedAnswers = 3
/** Limit on the fingerprints that are tracked, about 60 bytes each. */
const maxFingerprints = 8192

export class ServedFingerprints {
  #answers = new Map<string, number>()

  record (fingerprint: string): void {
    const answers = this.#answers.get(fingerprint) ?? 0
    // Deleting first keeps the map in order of the last answer.
    this.#answers.delete(fingerprint)
    this.#answers.set(fingerprint, answers + 1)
    if (this.#answers.size > maxFingerprints) this.#answers.delete(this.#answers.keys().next().value!)
  }

  isTrusted (fingerprint: string): boolean {
    return (this.#answers.get(fingerprint) ?? 0) >= minTrustedAnswers
  }
}
