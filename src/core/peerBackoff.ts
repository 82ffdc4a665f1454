/** Skips hosts that did not respond, for longer each time. */

/** A host that did not respond is skipped for this long, doubled each time that it does not respond again. */
const initialBackoffMs = 500
const maxBackoffMs = 4000

export class PeerBackoff {
  #silences = new Map<string, { startedAtMs: number, durationMs: number }>()

  /** Whether the host with this session is skipped now. */
  isSkipped (session: string, nowMs: number): boolean {
    const silence = this.#silences.get(session)
    return silence !== undefined && nowMs - silence.startedAtMs < silence.durationMs
  }

  /** Records that a host did not respond. Concurrent requests to a host that is skipped already count once. */
  recordSilence (session: string, nowMs: number): void {
    if (this.isSkipped(session, nowMs)) return
    const previousMs = this.#silences.get(session)?.durationMs ?? initialBackoffMs / 2
    this.#silences.set(session, { startedAtMs: nowMs, durationMs: Math.min(maxBackoffMs, previousMs * 2) })
  }

  recordResponse (session: string): void {
    this.#silences.delete(session)
  }
}
