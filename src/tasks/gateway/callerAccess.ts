/** Identifies a caller by its key, and checks which names the key gives access to. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { ConfigurationView, KeyRecord } from '../../schemas/configuration.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'

const retryAfterUnconfirmedMs = 2000

/** Either a valid value or the failure to send to the caller. */
export type ValidationResult<T> = { isValid: true, value: T } | { isValid: false, failure: RequestFailure }

/** Computes the hash under which a key is registered: SHA-256 in lower-case hex. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/**
 * Finds the record of the key in an `Authorization: Bearer` header.
 *
 * @example
 * findCaller(configuration, 'Bearer sv-counter-1', 'caller')
 */
export function findCaller (
  configuration: ConfigurationView, authorization: string | undefined, role: KeyRecord['role']
): ValidationResult<KeyRecord> {
  if (role === 'caller' && !configuration.isCurrent()) return refuse(createConfigurationUnconfirmed())
  const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
  if (key === undefined) return refuse(createNotRunFailure('key_missing', 'the request has no "Authorization: Bearer" header', 401))
  const hash = hashKey(key.trim())
  const record = configuration.findKeyByHash(hash)
  const isKnown = record !== undefined && timingSafeEqual(Buffer.from(record.hash), Buffer.from(hash))
  if (!isKnown || record.role !== role) return refuse(createNotRunFailure('key_unknown', `the key is not registered for role "${role}"`, 401))
  return { isValid: true, value: record }
}

/** Whether a list of names includes a name; `*` allows every name. */
export function isNameAllowed (names: string[], name: string): boolean {
  return names.includes('*') || names.includes(name)
}

function createConfigurationUnconfirmed (): RequestFailure {
  const message = 'the host can reach neither the store nor most schedulers, so it may lack an accepted change; send the request to another host'
  return createNotRunFailure('configuration_unconfirmed', message, 503, retryAfterUnconfirmedMs)
}

function refuse (failure: RequestFailure): { isValid: false, failure: RequestFailure } {
  return { isValid: false, failure }
}
