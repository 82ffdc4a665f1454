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

  constructor (accounts: readonly ClientAccount[]) {
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
}
