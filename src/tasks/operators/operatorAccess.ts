/** Who may use the operators' port. */
import { timingSafeEqual } from 'node:crypto'
import type { ConfigurationView } from '../../schemas/configuration.js'
import { findCaller, hashKey } from '../gateway/callerAccess.js'
import type { ValidationResult } from '../gateway/callerAccess.js'

export interface Operator {
  /** Name of the operator's key; `settings` for the key of the settings file. */
  name: string
}

/**
 * Checks an `Authorization: Bearer` header against the registered operators' keys and the one of the settings.
 * The key of the settings lets a new system be configured.
 *
 * @example
 * checkOperator(configuration, settings.operators.keyHash, request.headers.authorization)
 */
export function checkOperator (
  configuration: ConfigurationView, settingsKeyHash: string | undefined, authorization: string | undefined
): ValidationResult<Operator> {
  const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
  if (settingsKeyHash !== undefined && key !== undefined && isSameHash(hashKey(key.trim()), settingsKeyHash)) {
    return { isValid: true, value: { name: 'settings' } }
  }
  const registered = findCaller(configuration, authorization, 'operator')
  return registered.isValid ? { isValid: true, value: { name: registered.value.name } } : registered
}

function isSameHash (given: string, expected: string): boolean {
  return timingSafeEqual(Buffer.from(given, 'hex'), Buffer.from(expected, 'hex'))
}
