/** Tracks how old a host's copy of each table is, whichever way its rows came. */

export class TableFreshness {
  #matchedAtMs = new Map<string, number>()

  /** Records that the copy of a table matched the store at a time; an earlier time than the known one changes nothing. */
  record (table: string, matchedAtMs: number): void {
    this.#matchedAtMs.set(table, Math.max(matchedAtMs, this.#matchedAtMs.get(table) ?? -Infinity))
  }

  /** Milliseconds since the copy of a table last matched the store; `Infinity` if it never did. */
  getAgeMs (table: string, nowMs: number): number {
    return nowMs - (this.#matchedAtMs.get(table) ?? -Infinity)
  }

  /**
   * Lists the ages in milliseconds by table, without tables that never matched the store.
   *
   * @example
   * freshness.record('op', 1000)
   * freshness.listAges(1400) // { op: 400 }
   */
  listAges (nowMs: number): Record<string, number> {
    return Object.fromEntries([...this.#matchedAtMs].map(([table, atMs]) => [table, nowMs - atMs]))
  }
}
