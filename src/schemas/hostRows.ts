/** Rows that the hosts keep in the store for each other. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'

/** Table of hosts, owners and contents that crash endpoints, which change rarely, so that every host may follow it. */
export const hostsTable = 'sedgevalve'
/** Table of renewals, which change all the time and concern only those that watch over owners. */
export const renewalsTable = 'sedgevalve-renewals'

const hostKeyPrefix = 'host/'
const ownerKeyPrefix = 'owner/'
const suspectKeyPrefix = 'suspect/'

export const hostRowSchema = Type.Object({
  host: Type.String(),
  address: Type.String(),
  zone: Type.String(),
  /** Names one life of the host's process. */
  session: Type.String(),
  /** Whether the host is shutting down and takes no endpoints. */
  isLeaving: Type.Boolean()
})
export type HostRow = Static<typeof hostRowSchema>

/** Shows that a host that owns endpoints lives; its key is the host's name. */
export const renewalRowSchema = Type.Object({
  session: Type.String(),
  /** Rises with each renewal. */
  renewal: Type.Integer()
})
export type RenewalRow = Static<typeof renewalRowSchema>

/** Who may give an endpoint orders; the version of the row is the fencing number. */
export const ownerRowSchema = Type.Object({
  endpointId: Type.String(),
  /** Empty where the endpoint has been given up. */
  host: Type.String(),
  address: Type.String(),
  session: Type.String(),
  /** Who owned it before, the last one first; a host that starts again does not know what it owned. */
  formerHosts: Type.Optional(Type.Array(Type.String()))
})
export type OwnerRow = Static<typeof ownerRowSchema>

/** An endpoint crashed beneath requests of a content. A row for each crash needs no condition, so any host may write it, and again. */
export const suspectRowSchema = Type.Object({
  /** Hash of what the requests ask. */
  fingerprint: Type.String({ minLength: 1 }),
  /** Name of the crash, alike on all hosts that saw it. */
  crash: Type.String({ minLength: 1 })
})
export type SuspectRow = Static<typeof suspectRowSchema>

const hostRowCheck = TypeCompiler.Compile(hostRowSchema)
const renewalRowCheck = TypeCompiler.Compile(renewalRowSchema)
const ownerRowCheck = TypeCompiler.Compile(ownerRowSchema)
const suspectRowCheck = TypeCompiler.Compile(suspectRowSchema)

export function formatHostKey (host: string): string {
  return `${hostKeyPrefix}${host}`
}

export function formatOwnerKey (endpointId: string): string {
  return `${ownerKeyPrefix}${endpointId}`
}

export function formatSuspectKey ({ fingerprint, crash }: SuspectRow): string {
  return `${suspectKeyPrefix}${fingerprint}/${crash}`
}

/** A row of the hosts' table with what it holds; undefined where this version of the program does not know it. */
export type DecodedRow =
  | { kind: 'host', name: string, row: HostRow }
  | { kind: 'owner', name: string, row: OwnerRow }
  | { kind: 'suspect', name: string, row: SuspectRow }

/**
 * Decodes a row of the hosts' table.
 *
 * @example
 * decodeHostsRow('owner/i-7f3a', bytes) // { kind: 'owner', name: 'i-7f3a', row: { host: 'front-1', … } }
 */
export function decodeHostsRow (key: string, value: Uint8Array): DecodedRow | undefined {
  const row: unknown = parseRow(value)
  if (key.startsWith(hostKeyPrefix) && hostRowCheck.Check(row)) return { kind: 'host', name: key.slice(hostKeyPrefix.length), row }
  if (key.startsWith(ownerKeyPrefix) && ownerRowCheck.Check(row)) return { kind: 'owner', name: key.slice(ownerKeyPrefix.length), row }
  if (key.startsWith(suspectKeyPrefix) && suspectRowCheck.Check(row)) return { kind: 'suspect', name: key.slice(suspectKeyPrefix.length), row }
  return undefined
}

/** The kind and name of a row that was removed. */
export function parseHostsKey (key: string): { kind: DecodedRow['kind'], name: string } | undefined {
  if (key.startsWith(hostKeyPrefix)) return { kind: 'host', name: key.slice(hostKeyPrefix.length) }
  if (key.startsWith(ownerKeyPrefix)) return { kind: 'owner', name: key.slice(ownerKeyPrefix.length) }
  if (key.startsWith(suspectKeyPrefix)) return { kind: 'suspect', name: key.slice(suspectKeyPrefix.length) }
  return undefined
}

/** Decodes a renewal; undefined where the bytes hold none. */
export function decodeRenewal (value: Uint8Array): RenewalRow | undefined {
  const row = parseRow(value)
  return renewalRowCheck.Check(row) ? row : undefined
}

export function encodeHostsRow (row: HostRow | OwnerRow | RenewalRow | SuspectRow): Uint8Array {
  return Buffer.from(JSON.stringify(row))
}

function parseRow (value: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(value).toString('utf8'))
  } catch {
    // Bytes of another writer; the caller ignores the row.
    return undefined
  }
}
