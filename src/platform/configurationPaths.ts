/** Names the fields of a configuration as operators write them. No key of an account appears in a path. */
import { KindGuard, Type } from '@sinclair/typebox'
import type { TSchema } from '@sinclair/typebox'
import type { ConfigurationField } from '../core/configurationCheck/checkFinding.js'
import { accountSchema, accountsField, isAccountEntry } from './decodeAccounts.js'
import { configurationSchema } from './decodeConfiguration.js'
import type { WireConfiguration } from './decodeConfiguration.js'

export type PathPart = string | number

/** Fields that have another name on the wire; all others have the same. */
const wireFields: Readonly<Record<string, Readonly<Record<string, string>>>> = Object.freeze({
  configuration: { accounts: accountsField },
  route: { kind: 'routeKind', isResumable: 'resumable', targetMs: 'targetLatencyMs', maxGapMs: 'targetGapMs', rank: 'priority', isPublic: 'public' },
  engine: { batchLimit: 'slots', cacheTokens: 'kvCacheTokens', adapterSlots: 'adapterSlotCount', loadsPerSecond: 'loadsPerS', tokensPerEvent: 'stride' },
  account: { keys: 'apiKeys', rank: 'priority', perSecond: 'ratePerS' }
})

/**
 * Formats a path up to its first unknown field. Within accounts that one is not named either, as a key may stand where a name should.
 *
 * @example
 * formatPath(['routes', 3, 'timeoutMs']) // 'routes[3].timeoutMs'
 */
export function formatPath (parts: readonly PathPart[]): string {
  const known = countKnownParts(documentSchema, parts)
  const isAccount = parts[0] === accountsField
  const path = parts.slice(0, isAccount ? known : known + 1).reduce<string>((text, part) => typeof part === 'number' ? `${text}[${part}]` : text === '' ? part : `${text}.${part}`, '')
  return isAccount && known < parts.length ? `${path} (an unknown field)` : path
}

/** Whether hosts know all fields of a path. */
export function isKnownPath (parts: readonly PathPart[]): boolean {
  return countKnownParts(documentSchema, parts) === parts.length
}

const documentSchema = Type.Object({ ...configurationSchema.properties, [accountsField]: Type.Array(accountSchema) })

/** Counts the leading parts that a schema names. */
function countKnownParts (schema: TSchema, [part, ...rest]: readonly PathPart[]): number {
  if (part === undefined) return 0
  const member = typeof part === 'number'
    ? KindGuard.IsArray(schema) ? schema.items : undefined
    : KindGuard.IsObject(schema) && Object.hasOwn(schema.properties, part) ? schema.properties[part] : undefined
  return member ? 1 + countKnownParts(member, rest) : 0
}

/** Splits the JSON pointer of an error; the document is needed to tell positions from names. */
export function parsePointer (pointer: string, document: unknown): PathPart[] {
  let value = document
  return pointer.split('/').slice(1).map(token => {
    const name = token.replaceAll('~1', '/').replaceAll('~0', '~')
    const part = Array.isArray(value) ? Number(name) : name
    value = (value as Record<PathPart, unknown> | undefined)?.[part]
    return part
  })
}

/**
 * Creates the function that names fields of one configuration; a value that it does not set is marked as the default.
 *
 * @example
 * createFieldNaming(document)({ entry: 'route', index: 3, field: 'targetMs' }) // 'routes[3].targetLatencyMs'
 */
export function createFieldNaming (document: WireConfiguration): (field: ConfigurationField) => string {
  const accounts = Array.isArray(document.tenants) ? document.tenants as unknown[] : []
  const serviceIndexes = new Map(document.services.map(({ name }, index) => [name, index]))
  // Of several entries with one name, hosts use the first valid one.
  const accountIndexes = new Map(accounts.flatMap((account, index) => isAccountEntry(account) ? [[account.name, index] as const] : []).reverse())
  return at => {
    const wireField = at.field && (wireFields[at.entry]?.[at.field] ?? at.field)
    if (at.entry === 'configuration') return wireField!
    if (at.entry === 'limits') return `limits.${wireField}`
    if (at.entry === 'route') {
      const field = at.field === 'targets' ? findTargetsField(document.routes[at.index]!) : wireField
      return formatField(['routes', at.index], document.routes[at.index], field)
    }
    if (at.entry === 'account') return formatField([accountsField, accountIndexes.get(at.name)!], accounts[accountIndexes.get(at.name)!], wireField)
    const index = serviceIndexes.get(at.name)!
    const service = document.services[index]
    return at.entry === 'engine' ? formatField(['services', index, 'engine'], service?.engine, wireField) : formatField(['services', index], service, wireField)
  }
}

function findTargetsField ({ trafficSplit }: WireConfiguration['routes'][number]): string {
  return trafficSplit ? 'trafficSplit' : 'service'
}

function formatField (parts: PathPart[], entry: unknown, field: string | undefined): string {
  if (field === undefined) return formatPath(parts)
  const isSet = (entry as Record<string, unknown> | undefined)?.[field] !== undefined
  return `${formatPath([...parts, field])}${isSet ? '' : ' (default)'}`
}
