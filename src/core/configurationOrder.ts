/** Decides which row of the configuration is the latest: within an era of the store by its number, across eras by who can have written it. */
import type { StoreRow } from '../ports/store.js'

/** `hold`: the row may be of the copy that the store was restored from; it is in force only if nothing follows it in time. */
export type ConfigurationDecision = 'apply' | 'ignore' | 'hold'

/** Rows of the configuration that are remembered, to recognise them in a copy of the store. */
const maxRememberedRows = 16

export class ConfigurationOrder {
  #number: number | undefined
  #value: Uint8Array | undefined
  #remembered: Pick<StoreRow, 'version' | 'value'>[] = []
  /** Rows that this host knew when the latest era began. */
  #rowsBefore: Pick<StoreRow, 'version' | 'value'>[] | undefined

  beginEra (): void {
    this.#rowsBefore = [...this.#rowsBefore ?? [], ...this.#remembered]
    this.#remembered = []
  }

  /**
   * Decides about a row with configuration `number`. Numbers rise, unless operators write again what the store has lost.
   * `mayBeRestored`: the row is as the store had it when it was first read in this era.
   *
   * @example
   * order.decide(row, 8, true) // 'ignore', where 9 is in force and the store had this very row before
   */
  decide (row: StoreRow, number: number, mayBeRestored: boolean): ConfigurationDecision {
    const decision = this.#compare(row, number, mayBeRestored)
    if (decision !== 'hold') this.#remember(row)
    if (decision === 'apply') this.#setInForce(row, number)
    return decision
  }

  /** Records that a held row is in force now. */
  acceptHeld (row: StoreRow, number: number): void {
    this.#remember(row)
    this.#setInForce(row, number)
  }

  #compare (row: StoreRow, number: number, mayBeRestored: boolean): ConfigurationDecision {
    if (this.#number === undefined || number > this.#number) return 'apply'
    if (!this.#rowsBefore || isEqual(row.value, this.#value)) return 'ignore'
    if (!mayBeRestored) return 'apply'
    if (this.#rowsBefore.some(known => known.version === row.version && isEqual(known.value, row.value))) return 'ignore'
    // A row of the copy that is as new as the first one that this host knew would be among those.
    return this.#rowsBefore.some(known => known.version <= row.version) ? 'apply' : 'hold'
  }

  #setInForce ({ value }: StoreRow, number: number): void {
    this.#number = number
    this.#value = value
  }

  #remember ({ version, value }: StoreRow): void {
    this.#remembered.push({ version, value })
    if (this.#remembered.length > maxRememberedRows) this.#remembered.shift()
  }
}

function isEqual (left: Uint8Array | undefined, right: Uint8Array | undefined): boolean {
  return left !== undefined && right !== undefined && Buffer.compare(left, right) === 0
}
