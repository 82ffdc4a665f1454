/** The row of one claim: who runs the work of an `Idempotency-Key`, and what became of it. */
import { createHash } from 'node:crypto'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import VError from 'verror'
import type { TableRow } from '../../ports/table.js'
import { answerReferenceSchema } from '../../schemas/storedAnswer.js'

export const claimPrefix = 'claims/'
/** Claims and their answers are kept at least this long after their last write. */
export const claimLifeMs = 24 * 3600 * 1000

const sharedFields = {
  /** Hash of what was asked; the same key with another one is refused. */
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

/** Work that may run at most once. */
export interface ClaimedWork {
  callerName: string
  idempotencyKey: string
  bodyHash: string
  requestId: string
}

/** Keys of different callers never meet. */
export function formatClaimKey ({ callerName, idempotencyKey }: ClaimedWork): string {
  return `${claimPrefix}${hashParts([callerName, idempotencyKey])}`
}

/**
 * Hashes what a caller asks, part by part.
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
  if (!Value.Check(claimRowSchema, row.value)) throw new VError('row "%s" is not a claim', row.key)
  return row.value
}
