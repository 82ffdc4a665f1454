/** Counts the answers to each request fingerprint or prompt part, so that frequent ones are not suspected of crashing endpoints. */

/**
 * A request that was answered this often is not the cause when an endpoint ends while it runs. By chance, one that does crash
 * endpoints is rarely answered more often than this.
 */
const minTrustedAnswers = 3
/** Limit on the fingerprints of each of the two maps, about 60 bytes each. */
const maxFingerprints = 8192

export class ServedFingerprints {
  /** Kept apart from those answered repeatedly, so that many distinct fingerprints do not evict the frequent ones. */
  #answeredOnce = new Map<string, number>()
  #answeredRepeatedly = new Map<string, number>()

  record (fingerprint: string): void {
    this.merge(fingerprint, this.getCount(fingerprint) + 1)
  }

  /** Raises the number of answers to one that another host has counted. */
  merge (fingerprint: string, answers: number): void {
    const count = Math.max(answers, this.getCount(fingerprint))
    // Deleting first keeps the maps in order of the last answer.
    this.#answeredOnce.delete(fingerprint)
    this.#answeredRepeatedly.delete(fingerprint)
    const counts = count > 1 ? this.#answeredRepeatedly : this.#answeredOnce
    counts.set(fingerprint, count)
    if (counts.size > maxFingerprints) counts.delete(counts.keys().next().value!)
  }

  getCount (fingerprint: string): number {
    return this.#answeredRepeatedly.get(fingerprint) ?? this.#answeredOnce.get(fingerprint) ?? 0
  }

  isTrusted (fingerprint: string): boolean {
    return this.getCount(fingerprint) >= minTrustedAnswers
  }
}
