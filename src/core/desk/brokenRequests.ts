/** Contents of requests whose connections broke, for the case that their engine turns out to have crashed. */

/** An engine's crash is noticed within this time of the first broken connection: a read of its state with its time-out, and one more. */
const crashNoticeMs = 1500

export class BrokenRequests {
  #requests: { fingerprint: string, atMs: number }[] = []

  record (fingerprint: string, nowMs: number): void {
    this.#requests.push({ fingerprint, atMs: nowMs })
  }

  /** Forgets what broke too long ago to tell of a crash that is noticed now. */
  sweep (nowMs: number): void {
    this.#requests = this.#requests.filter(({ atMs }) => nowMs - atMs < crashNoticeMs)
  }

  /** Contents that may have crashed the engine, with those that it still ran; each crash takes them once. */
  take (running: readonly string[], nowMs: number): string[] {
    this.sweep(nowMs)
    const fingerprints = [...running, ...this.#requests.map(({ fingerprint }) => fingerprint)]
    this.#requests = []
    // Contents without a fingerprint are those of requests that a former owner admitted.
    return fingerprints.filter(fingerprint => fingerprint !== '')
  }
}
