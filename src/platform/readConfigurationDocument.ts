/** Reads a configuration as hosts do, and reports what they could not decode, would leave out or would ignore. */
import { KindGuard } from '@sinclair/typebox'
import type { TSchema } from '@sinclair/typebox'
import type { ComparedNames } from '../core/configurationCheck/compareConfigurations.js'
import type { CheckedConfiguration, CheckFinding } from '../core/configurationCheck/checkFinding.js'
import { createFieldNaming, formatPath, isKnownPath, parsePointer } from './configurationPaths.js'
import type { PathPart } from './configurationPaths.js'
import { accountSchema, accountsField, decodeAccounts, isAccountEntry, keysField } from './decodeAccounts.js'
import { configurationSchema, createConfiguration, isConfiguration, listConfigurationErrors, routeKinds } from './decodeConfiguration.js'
import type { WireConfiguration } from './decodeConfiguration.js'
import { decodeJson } from './decodeJson.js'
import { describeEncoding, describeSyntaxError, listRepeatedMembers } from './jsonText.js'
import { encodeConfigurationRow } from './standinWire.js'
import { maxStoreResponseBytes } from './wireNames.js'

/**
 * Reads the value of the configuration's row. No finding holds a key of it or of `others`, further configurations.
 *
 * @example
 * readConfigurationDocument(bytes).errors // [{ path: 'routes[3].timeoutMs', message: 'Expected number' }]
 */
export function readConfigurationDocument (bytes: Uint8Array, others: readonly Uint8Array[] = []): CheckedConfiguration {
  const sizeError = describeSize(bytes)
  if (sizeError !== undefined) return createUnreadable([{ path: '', message: sizeError }])
  const text = Buffer.from(bytes).toString('utf8')
  const syntaxError = describeSyntaxError(text)
  if (syntaxError !== undefined) return createUnreadable([{ path: '', message: syntaxError }])
  const document = decodeJson(bytes)
  const errors = [...listEncodingErrors(bytes), ...listRepeated(text), ...listUnknownFields(document)]
  // Before any other finding, as findings name accounts.
  const nameErrors = hideNamesThatAreKeys(document, new Set([document, ...others.map(decodeJson)].flatMap(listKeys)))
  const accountErrors = [...listAccountErrors(document), ...nameErrors]
  if (!isConfiguration(document)) {
    const wrong = listConfigurationErrors(document).map(({ path, message }) => ({ path: formatPath(parsePointer(path, document)), message }))
    return createUnreadable([...wrong, ...errors, ...accountErrors])
  }
  const configuration = createConfiguration(document)
  return {
    errors: [...errors, ...accountErrors, ...listDroppedValues(document)],
    decoded: {
      configuration,
      ineffective: listIneffective(document),
      effective: decodeJson(encodeConfigurationRow(configuration).value),
      describeField: createFieldNaming(document)
    }
  }
}

function createUnreadable (errors: CheckFinding[]): CheckedConfiguration {
  return { errors, decoded: undefined }
}

/** Stands for the name of an account that is also a key, followed by the position of its entry. */
const hiddenName = 'name-is-a-key-'

/** Replaces names of accounts that are also keys, as names are printed and keys must not be; returns where. */
function hideNamesThatAreKeys (document: unknown, keys: ReadonlySet<unknown>): CheckFinding[] {
  return readAccounts(document).flatMap((account, index) => {
    if (!isAccountEntry(account) || !keys.has(account.name)) return []
    account.name = `${hiddenName}${index}`
    return [{ path: formatPath([accountsField, index, 'name']), message: 'the name is also a key of an account, and endpoints and log lines get names' }]
  })
}

function listKeys (document: unknown): unknown[] {
  return readAccounts(document).flatMap(account => {
    const keys = (account as { [keysField]?: unknown } | null)?.[keysField]
    return Array.isArray(keys) ? keys as unknown[] : []
  })
}

function readAccounts (document: unknown): unknown[] {
  const accounts = (document as { [accountsField]?: unknown } | null)?.[accountsField]
  return Array.isArray(accounts) ? accounts : []
}

/** Entries are named by their own names, and the parts of a traffic split by their services. */
export const comparedNames: ComparedNames = Object.freeze({ secretField: keysField, nameFields: ['name', 'service'] })

/** The store sends values in base64. */
function describeSize (bytes: Uint8Array): string | undefined {
  const encodedLength = Math.ceil(bytes.length / 3) * 4
  return encodedLength > maxStoreResponseBytes ? `hosts cannot read it from the store, which sends it as ${encodedLength} bytes; they read at most ${maxStoreResponseBytes}` : undefined
}

function listEncodingErrors (bytes: Uint8Array): CheckFinding[] {
  const message = describeEncoding(bytes)
  return message === undefined ? [] : [{ path: '', message }]
}

/** What is in fields that hosts do not know is ignored anyway. */
function listRepeated (text: string): CheckFinding[] {
  return listRepeatedMembers(text).filter(isKnownPath).map(parts => ({ path: formatPath(parts), message: 'the field stands more than once; hosts use the last one' }))
}

/** Fields that hosts do not know are mostly misspelled ones, in whose place the default applies. */
function listUnknownFields (document: unknown): CheckFinding[] {
  const paths = [...findUnknownPaths(configurationSchema, document, []), ...readAccounts(document).flatMap((account, index) => findUnknownPaths(accountSchema, account, [accountsField, index]))]
  return paths.map(parts => ({ path: formatPath(parts), message: 'hosts know no such field and ignore it' }))
}

function findUnknownPaths (schema: TSchema, value: unknown, path: PathPart[]): PathPart[][] {
  if (KindGuard.IsArray(schema)) return Array.isArray(value) ? value.flatMap((item, index) => findUnknownPaths(schema.items, item, [...path, index])) : []
  if (!KindGuard.IsObject(schema) || typeof value !== 'object' || value === null || Array.isArray(value)) return []
  return Object.entries(value).flatMap(([name, member]) => Object.hasOwn(schema.properties, name)
    ? findUnknownPaths(schema.properties[name]!, member, [...path, name])
    : [[...path, name]])
}

function listAccountErrors (document: unknown): CheckFinding[] {
  const { accountDefects = [] } = decodeAccounts((document as { [accountsField]?: unknown } | null)?.[accountsField])
  return accountDefects.map(({ account, path, reason }) => ({ path, message: account === '' || account.startsWith('#') ? reason : `account "${account}": ${reason}` }))
}

/** Lists values that the decoders replace without a report of their own. */
function listDroppedValues ({ routes, services }: WireConfiguration): CheckFinding[] {
  const lastIndexes = new Map(services.map(({ name }, index) => [name, index]))
  return [
    ...routes.flatMap(({ routeKind, maxAttempts, service, trafficSplit }, index) => [
      ...(Object.hasOwn(routeKinds, routeKind) ? [] : [{ path: formatPath(['routes', index, 'routeKind']), message: `the kind "${routeKind}" is unknown; hosts take it for "non_idempotent"` }]),
      ...(maxAttempts !== undefined && maxAttempts < 1 ? [{ path: formatPath(['routes', index, 'maxAttempts']), message: `hosts take ${maxAttempts} for 1` }] : []),
      ...(service !== undefined && trafficSplit ? [{ path: formatPath(['routes', index, 'service']), message: 'hosts ignore it, as the route has a "trafficSplit"' }] : [])
    ]),
    ...services.flatMap(({ name }, index) => lastIndexes.get(name) === index ? [] : [{ path: formatPath(['services', index]), message: `left out, as a later service has the name "${name}" too` }])
  ]
}

/** A quota without a rate sets no limit, so that its other fields have no effect. */
function listIneffective (document: WireConfiguration): CheckFinding[] {
  return readAccounts(document).flatMap((account, index) => {
    const { ratePerS, burst, plainTokens } = (account ?? {}) as Record<string, unknown>
    if (Number(ratePerS ?? 0) !== 0) return []
    return Object.entries({ burst, plainTokens }).filter(([, value]) => typeof value === 'number' && value > 0)
      .map(([field]) => ({ path: formatPath([accountsField, index, field]), message: 'it has no effect, as the account has no rate and so no limit' }))
  })
}
