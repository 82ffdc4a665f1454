/** Client accounts of a soak, and the keys that its callers send. */
import type { ClientAccount } from '../src/schemas/routing.js'

export const soakAccounts: readonly ClientAccount[] = [
  { name: 'orchard', keys: ['soak-key-orchard'], rank: undefined, quota: undefined },
  { name: 'harbor', keys: ['soak-key-harbor-old', 'soak-key-harbor-new'], rank: 1, quota: undefined },
  { name: 'quarry', keys: ['soak-key-quarry'], rank: 0, quota: undefined }
]

export interface SoakCredentials {
  headers: Record<string, string>
  /** Name of the account that endpoints must see; empty if the key is unknown, so that the request must not run. */
  account: string
}

/** One of this many callers sends an unknown key, and another one claims to be another account. */
const oddCallers = 16

/**
 * Picks a caller's key by its request's id, so that no draw is needed. `mustBeKnown`: the same valid key for all of these requests.
 *
 * @example
 * pickCredentials('9c41d07be2a35f68', false).account // 'harbor'
 */
export function pickCredentials (requestId: string, mustBeKnown: boolean): SoakCredentials {
  const number = mustBeKnown ? 0 : Number.parseInt(requestId.slice(2, 6), 16)
  if (number % oddCallers === 1) return { headers: { authorization: 'Bearer soak-key-unknown' }, account: '' }
  const { name, keys } = soakAccounts[Math.floor(number / oddCallers) % soakAccounts.length]!
  const key = keys[Math.floor(number / 256) % keys.length]!
  return { headers: { authorization: `Bearer ${key}`, ...(number % oddCallers === 2 && { Tenant: 'orchard' }) }, account: name }
}
