/** Rows in the store through which hosts share their state. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'

/** Table of hosts, owners and suspect contents. Its rows change rarely, so every host can watch it. */
export const hostsTable = 'sedgevalve'
/** Table of renewals, which change constantly and matter only to hosts that monitor owners. */
export const renewalsTable = 'sedgevalve-renewals'

const hostKeyPrefix = 'host/'
const ownerKeyPrefix = 'owner/'
const suspectKeyPrefix = 'suspect/'
const serviceVersionsKeyPrefix = 'versions/'
const partFingerprintPrefix = 'part:'

/** Tells in which era of the store a row was written; hosts of earlier versions leave it out, as they know no eras. */
const writtenInEraSchema = Type.Object({
  /** Left out while the store has named no era. */
  era: Type.Optional(Type.Integer()),
  /** Era in which the deployment began to count eras; fencing tokens rise with each era after it. */
  firstEra: Type.Optional(Type.Integer())
})
export type WrittenInEra = Static<typeof writtenInEraSchema>

export const hostRowSchema = Type.Composite([writtenInEraSchema, Type.Object({
  host: Type.String(),
  address: Type.String(),
  zone: Type.String(),
  /** Identifies one incarnation of the host's process. */
  session: Type.String(),
  /** Whether the host is shutting down and claims no endpoints. */
  isLeaving: Type.Boolean(),
  /** Part of a processor that the host may use; absent if its settings do not say, and from hosts of earlier versions. */
  processorShare: Type.Optional(Type.Number()),
  /** Hosts that are witnesses of this host's lease; hosts of earlier versions leave it out, and are replaced once they have not renewed in time. */
  witnesses: Type.Optional(Type.Array(Type.String()))
})])
export type HostRow = Static<typeof hostRowSchema>

/** Shows that a host that owns endpoints is alive; the row's key is the host's name. */
export const renewalRowSchema = Type.Object({
  session: Type.String(),
  /** Increases with each renewal. */
  renewal: Type.Integer()
})
export type RenewalRow = Static<typeof renewalRowSchema>

/** The host that may send orders to an endpoint; its fencing token follows from the version and the era of the row. */
export const ownerRowSchema = Type.Composite([writtenInEraSchema, Type.Object({
  endpointId: Type.String(),
  /** Empty if the endpoint has been released. */
  host: Type.String(),
  address: Type.String(),
  session: Type.String(),
  /** Previous owners, the latest one first; kept here because a restarted host does not know what it owned. */
  formerHosts: Type.Optional(Type.Array(Type.String()))
})])
export type OwnerRow = Static<typeof ownerRowSchema>

/**
 * An endpoint crashed while it ran requests with this content or prompt part. With one row for each crash, writes need no
 * precondition: any host may write the row, more than once.
 */
export const suspectRowSchema = Type.Object({
  /** Fingerprint (hash) of the requests' content, or that of a prompt part as `formatPartFingerprint` returns it. */
  fingerprint: Type.String({ minLength: 1 }),
  /** Name of the crash, the same on all hosts that observed it. */
  crash: Type.String({ minLength: 1 }),
  /** Content fingerprint of one of the requests with the prompt part; absent in rows of contents. */
  request: Type.Optional(Type.String())
})
export type SuspectRow = Static<typeof suspectRowSchema>

/** The software versions of a service that its endpoints have, or had so lately that their streams may be taken up. */
export const serviceVersionsRowSchema = Type.Composite([writtenInEraSchema, Type.Object({
  service: Type.String({ minLength: 1 }),
  versions: Type.Array(Type.String())
})])
export type ServiceVersionsRow = Static<typeof serviceVersionsRowSchema>

const hostRowCheck = TypeCompiler.Compile(hostRowSchema)
const renewalRowCheck = TypeCompiler.Compile(renewalRowSchema)
const ownerRowCheck = TypeCompiler.Compile(ownerRowSchema)
const suspectRowCheck = TypeCompiler.Compile(suspectRowSchema)
const serviceVersionsRowCheck = TypeCompiler.Compile(serviceVersionsRowSchema)

export function formatHostKey (host: string): string {
  return `${hostKeyPrefix}${host}`
}

export function formatOwnerKey (endpointId: string): string {
  return `${ownerKeyPrefix}${endpointId}`
}

export function formatServiceVersionsKey (service: string): string {
  return `${serviceVersionsKeyPrefix}${service}`
}

export function formatSuspectKey ({ fingerprint, crash }: Pick<SuspectRow, 'fingerprint' | 'crash'>): string {
  return `${suspectKeyPrefix}${fingerprint}/${crash}`
}

/**
 * Splits the name of a suspect's row, which is its key without the prefix. Crash names may contain slashes, fingerprints do not.
 *
 * @example
 * parseSuspectName('part:5c1e/i-7f3a@0/1') // { fingerprint: 'part:5c1e', crash: 'i-7f3a@0/1' }
 */
export function parseSuspectName (name: string): Pick<SuspectRow, 'fingerprint' | 'crash'> {
  const slash = name.indexOf('/')
  return { fingerprint: name.slice(0, slash), crash: name.slice(slash + 1) }
}

/**
 * Returns the fingerprint by which rows and messages name a prompt part.
 *
 * @example
 * formatPartFingerprint('5c1e') // 'part:5c1e'
 */
export function formatPartFingerprint (part: string): string {
  return `${partFingerprintPrefix}${part}`
}

/**
 * Returns the prompt part that a fingerprint names; undefined for the fingerprint of a content.
 *
 * @example
 * parsePartFingerprint('part:5c1e') // '5c1e'
 */
export function parsePartFingerprint (fingerprint: string): string | undefined {
  return fingerprint.startsWith(partFingerprintPrefix) ? fingerprint.slice(partFingerprintPrefix.length) : undefined
}

/** A decoded row of the hosts' table. */
export type DecodedHostsRow =
  | { kind: 'host', name: string, row: HostRow }
  | { kind: 'owner', name: string, row: OwnerRow }
  | { kind: 'suspect', name: string, row: SuspectRow }
  | { kind: 'versions', name: string, row: ServiceVersionsRow }

/**
 * Decodes a row of the hosts' table; returns undefined for a row that this version of the program does not know.
 *
 * @example
 * decodeHostsRow('owner/i-7f3a', bytes) // { kind: 'owner', name: 'i-7f3a', row: { host: 'front-1', … } }
 */
export function decodeHostsRow (key: string, value: Uint8Array): DecodedHostsRow | undefined {
  const row: unknown = parseRow(value)
  if (key.startsWith(hostKeyPrefix) && hostRowCheck.Check(row)) return { kind: 'host', name: key.slice(hostKeyPrefix.length), row }
  if (key.startsWith(ownerKeyPrefix) && ownerRowCheck.Check(row)) return { kind: 'owner', name: key.slice(ownerKeyPrefix.length), row }
  if (key.startsWith(suspectKeyPrefix) && suspectRowCheck.Check(row)) return { kind: 'suspect', name: key.slice(suspectKeyPrefix.length), row }
  if (key.startsWith(serviceVersionsKeyPrefix) && serviceVersionsRowCheck.Check(row)) return { kind: 'versions', name: key.slice(serviceVersionsKeyPrefix.length), row }
  return undefined
}

/** Parses the key of a removed row into its kind and name; returns undefined for an unknown kind. */
export function parseHostsKey (key: string): { kind: DecodedHostsRow['kind'], name: string } | undefined {
  if (key.startsWith(hostKeyPrefix)) return { kind: 'host', name: key.slice(hostKeyPrefix.length) }
  if (key.startsWith(ownerKeyPrefix)) return { kind: 'owner', name: key.slice(ownerKeyPrefix.length) }
  if (key.startsWith(suspectKeyPrefix)) return { kind: 'suspect', name: key.slice(suspectKeyPrefix.length) }
  if (key.startsWith(serviceVersionsKeyPrefix)) return { kind: 'versions', name: key.slice(serviceVersionsKeyPrefix.length) }
  return undefined
}

/** Decodes a renewal; returns undefined if the bytes are not a renewal row. */
export function decodeRenewal (value: Uint8Array): RenewalRow | undefined {
  const row = parseRow(value)
  return renewalRowCheck.Check(row) ? row : undefined
}

export function encodeHostsRow (row: HostRow | OwnerRow | RenewalRow | SuspectRow | ServiceVersionsRow): Uint8Array {
  return Buffer.from(JSON.stringify(row))
}

function parseRow (value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value).toString('utf8'))
  } catch {
    // Not valid JSON, so another program wrote the row; the caller ignores it.
    return undefined
  }
}
