/** Decodes the client accounts of a configuration. An invalid entry or field is left out, so that it affects no other account. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { AccountDefect, AccountQuota, ClientAccount, RoutingConfiguration } from '../schemas/routing.js'
import { maxApiKeyLength } from './wireNames.js'

/** Entry of one account. Its fields are checked one by one, as an invalid one affects no other. */
export const accountSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  apiKeys: Type.Optional(Type.Array(Type.Unknown())),
  priority: Type.Optional(Type.Unknown()),
  unit: Type.Optional(Type.Unknown()),
  plainTokens: Type.Optional(Type.Unknown()),
  ratePerS: Type.Optional(Type.Unknown()),
  burst: Type.Optional(Type.Unknown())
})
type AccountEntry = Static<typeof accountSchema>

const accountCheck = TypeCompiler.Compile(accountSchema)
/** Visible ASCII, as the name is sent in a header. */
const namePattern = /^[\x21-\x7e]{1,200}$/
const keyPattern = /^[\x21-\x7e]+$/

/** Field of the configuration that holds the accounts. */
export const accountsField = 'tenants'
/** Field of an account that holds its keys. */
export const keysField = 'apiKeys'

type ReportDefect = (account: string, path: string, reason: string) => void
/** Reports a defect of one field of an entry. */
type ReportField = (field: keyof AccountEntry, reason: string) => void

/**
 * Decodes the accounts; `accounts` is undefined if the configuration names none.
 *
 * @example
 * decodeAccounts([{ name: 'acme', apiKeys: ['k1'], ratePerS: 5 }]).accounts?.[0]?.quota?.perSecond // 5
 */
export function decodeAccounts (entries: unknown): Pick<RoutingConfiguration, 'accounts' | 'accountDefects'> {
  if (entries === undefined || entries === null) return {}
  const accountDefects: AccountDefect[] = []
  const report: ReportDefect = (account, path, reason) => { accountDefects.push({ account, path: `${accountsField}${path}`, reason }) }
  // With the field present, requests need a key even if no account can be read.
  if (!Array.isArray(entries)) report('', '', 'the accounts are not a list')
  const accounts = new Map<string, ClientAccount>()
  const positions = new Map<string, number>()
  for (const [index, entry] of (Array.isArray(entries) ? entries : []).entries()) {
    if (!isAccountEntry(entry)) report(`#${index}`, `[${index}]`, 'the entry has no valid name or key list')
    else if (accounts.has(entry.name)) report(entry.name, `[${index}].name`, 'another account has this name')
    else {
      accounts.set(entry.name, decodeAccount(entry, (field, reason) => report(entry.name, `[${index}].${field}`, reason)))
      positions.set(entry.name, index)
    }
  }
  return { accounts: removeSharedKeys([...accounts.values()], name => report(name, `[${positions.get(name)}].${keysField}`, 'another account has the same key')), accountDefects }
}

/** Whether an entry has a valid name, so that it is decoded. */
export function isAccountEntry (entry: unknown): entry is AccountEntry {
  return accountCheck.Check(entry) && namePattern.test(entry.name)
}

function decodeAccount (entry: AccountEntry, report: ReportField): ClientAccount {
  const keys = (entry.apiKeys ?? []).filter(key => typeof key === 'string' && key.length <= maxApiKeyLength && keyPattern.test(key)) as string[]
  if (keys.length < (entry.apiKeys?.length ?? 0)) report(keysField, `a key is not a text without spaces of at most ${maxApiKeyLength} characters`)
  return {
    name: entry.name,
    keys: [...new Set(keys)],
    rank: decodeRank(entry, report),
    quota: decodeQuota(entry, report)
  }
}

/** Messages between hosts carry ranks as integers. */
function decodeRank (entry: AccountEntry, report: ReportField): number | undefined {
  const rank = decodeAmount(entry, 'priority', report)
  if (rank === undefined || Number.isSafeInteger(rank)) return rank
  report('priority', '"priority" is not an integer')
  return undefined
}

/** A rate or burst that is 0 or left out sets no limit of its own. */
function decodeQuota (entry: AccountEntry, report: ReportField): AccountQuota | undefined {
  const perSecond = decodeAmount(entry, 'ratePerS', report) ?? 0
  const burst = decodeAmount(entry, 'burst', report) ?? 0
  const isUnitKnown = entry.unit === undefined || entry.unit === 'tokens' || entry.unit === 'requests'
  if (!isUnitKnown) report('unit', 'the unit of the quota is unknown')
  if (perSecond === 0 || !isUnitKnown) return undefined
  return { unit: entry.unit === 'tokens' ? 'tokens' : 'requests', perSecond, burst, plainTokens: decodeAmount(entry, 'plainTokens', report) ?? 0 }
}

function decodeAmount (entry: AccountEntry, field: 'priority' | 'plainTokens' | 'ratePerS' | 'burst', report: ReportField): number | undefined {
  const value = entry[field]
  if (value === undefined) return undefined
  if (typeof value === 'number' && Number.isFinite(value) && value >= 0) return value
  report(field, `"${field}" is not a number of 0 or more`)
  return undefined
}

/** A key that two accounts have belongs to neither, as it does not identify the account of a request. */
function removeSharedKeys (accounts: readonly ClientAccount[], reportShared: (account: string) => void): ClientAccount[] {
  const owners = new Map<string, number>()
  for (const { keys } of accounts) for (const key of keys) owners.set(key, (owners.get(key) ?? 0) + 1)
  return accounts.map(account => {
    const keys = account.keys.filter(key => owners.get(key) === 1)
    if (keys.length === account.keys.length) return account
    reportShared(account.name)
    return { ...account, keys }
  })
}
