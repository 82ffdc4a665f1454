/** The row of an idempotency claim: which host runs the request with an `Idempotency-Key`, and the result. */
import { createHash } from 'node:crypto'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import VError from 'verror'
import type { TableRow } from '../../ports/table.js'
import { answerReferenceSchema } from '../../schemas/storedAnswer.js'

export const claimKeyPrefix = 'claims/'
/** Claims and their answers are kept at least this long after their last write. */
export const claimRetentionMs = 24 * 3600 * 1000

const sharedFields = {
  /** Hash of the request; a request with the same key and another hash is refused. */
  bodyHash: Type.String(),
  requestId: Type.String(),
  hostId: Type.String()
}
const claimRowSchema = Type.Union([
  Type.Object({ ...sharedFields, state: Type.Literal('running') }),
  Type.Object({ ...sharedFields, state: Type.Literal('answered'), answer: answerReferenceSchema }),
  Type.Object({ ...sharedFields, state: Type.Literal('mayHaveRun'), message: Type.String() })
])
export type ClaimRow = Static<typeof claimRowSchema>

/** A request with an `Idempotency-Key`, which may run at most once. */
export interface KeyedRequest {
  callerName: string
  idempotencyKey: string
  bodyHash: string
  requestId: string
}

/** Includes the caller, so that different callers can use the same key. */
export function formatClaimKey ({ callerName, idempotencyKey }: KeyedRequest): string {
  return `${claimKeyPrefix}${hashParts([callerName, idempotencyKey])}`
}

/**
 * Hashes the parts of a request, each with its length, so that moving a boundary between parts changes the hash.
 *
 * @example
 * hashParts(['POST', '/services/claims/decisions', body])
 */
export function hashParts (parts: Array<string | Uint8Array>): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${part.length}:`).update(part)
  return hash.digest('hex')
}

export function readClaimRow (row: TableRow): ClaimRow {
  if (!Value.Check(claimRowSchema, row.value)) throw new VError('row "%s" is not a valid claim', row.key)
  return row.value
}
