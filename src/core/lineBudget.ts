/** Bounds how many log lines of each kind are written, and counts what is left out. */

export interface LineBudgetOptions {
  /** Lines of one kind a second. */
  linesPerSecond: number
  /** Lines of one kind that may come at once. */
  burst: number
}

interface Allowance {
  left: number
  filledAtMs: number
  omitted: number
}

export class LineBudget {
  #options: LineBudgetOptions
  #allowances = new Map<string, Allowance>()

  constructor (options: LineBudgetOptions) {
    this.#options = options
  }

  /** Takes one line of a kind; false where the line has to be left out. */
  takeLine (kind: string, nowMs: number): boolean {
    const { linesPerSecond, burst } = this.#options
    const allowance = this.#allowances.get(kind) ?? { left: burst, filledAtMs: nowMs, omitted: 0 }
    this.#allowances.set(kind, allowance)
    allowance.left = Math.min(burst, allowance.left + (nowMs - allowance.filledAtMs) / 1000 * linesPerSecond)
    allowance.filledAtMs = nowMs
    if (allowance.left < 1) {
      allowance.omitted++
      return false
    }
    allowance.left--
    return true
  }

  /** Counts of lines left out since the last call, by kind. */
  collectOmitted (): Record<string, number> {
    const omitted: Record<string, number> = {}
    for (const [kind, allowance] of this.#allowances) {
      if (allowance.omitted > 0) omitted[kind] = allowance.omitted
      allowance.omitted = 0
    }
    return omitted
  }
}
