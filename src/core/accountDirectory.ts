/** Finds the client accounts of one configuration by their keys and names. */
import type { ClientAccount } from '../schemas/routing.js'

/**
 * Index of client accounts.
 *
 * @example
 * new AccountDirectory(configuration.accounts).findByKey('k1')?.name // 'acme'
 */
export class AccountDirectory {
  #byKey = new Map<string, ClientAccount>()
  #byName = new Map<string, ClientAccount>()
  /** Whether the quotas of all accounts can be compared. */
  #hasComparableQuotas: boolean

  constructor (accounts: readonly ClientAccount[]) {
    const unit = accounts[0]?.quota?.unit
    this.#hasComparableQuotas = unit !== undefined && accounts.every(({ quota }) => quota?.unit === unit)
    for (const account of accounts) {
      this.#byName.set(account.name, account)
      for (const key of account.keys) this.#byKey.set(key, account)
    }
  }

  findByKey (key: string | undefined): ClientAccount | undefined {
    return key === undefined ? undefined : this.#byKey.get(key)
  }

  findByName (name: string): ClientAccount | undefined {
    return this.#byName.get(name)
  }

  /** Weight by which an account shares scarce capacity with others: its quota's rate, or 1 if accounts have different units or none. */
  getWeight (name: string): number {
    return this.#hasComparableQuotas ? this.#byName.get(name)?.quota?.perSecond ?? 1 : 1
  }
}
