/** Where the client connects and with which key: from the environment, else from an INI file. */
import { existsSync } from 'node:fs'
import { homedir } from 'node:os'
import { join } from 'node:path'
import { Type } from '@sinclair/typebox'
import { defaultOperatorsPort } from '../constants.js'
import { readSettings } from '../settings/readSettings.js'
import { isSettingsError } from '../settings/settingsError.js'
import { createClientError } from './clientError.js'

const addressPattern = '^([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$'

export const clientSettingsSchema = Type.Object({
  operators: Type.Object({
    address: Type.Optional(Type.String({ pattern: addressPattern, description: 'an IP number and a port such as 10.0.0.7:7481' })),
    key: Type.Optional(Type.String({ minLength: 1, isSecret: true, description: 'an operator\'s key' }))
  }, { additionalProperties: false, default: {} })
}, { additionalProperties: false, default: {} })

export interface ClientSettings {
  /** `ip:port` of an operators' port. */
  address: string
  key: string
}

export interface SettingsSources {
  environment: Record<string, string | undefined>
  /** Values of `--address` and `--config`. */
  address: string | undefined
  file: string | undefined
}

/**
 * Resolves the client's settings; the command line goes before the environment, and that before the file.
 * Throws a usage error where no key is set or a value is wrong.
 *
 * @example
 * resolveClientSettings({ environment: process.env, address: undefined, file: undefined })
 */
export function resolveClientSettings (sources: SettingsSources): ClientSettings {
  const { environment } = sources
  const fromFile = readFileSettings(sources.file ?? environment.SEDGEVALVE_CONFIG)
  const address = sources.address ?? environment.SEDGEVALVE_ADDRESS ?? fromFile.address ?? `127.0.0.1:${defaultOperatorsPort}`
  if (!new RegExp(addressPattern).test(address)) {
    throw createClientError('usage', `address "${address}" is wrong; expected an IP number and a port such as 10.0.0.7:7481`)
  }
  const key = environment.SEDGEVALVE_OPERATOR_KEY ?? fromFile.key
  if (!key) {
    throw createClientError('usage', 'no operator\'s key is set; put it into SEDGEVALVE_OPERATOR_KEY, or into [operators] key of ~/.sedgevalvectl.ini')
  }
  return { address, key }
}

/** Throws a usage error where the settings in a file are wrong. */
export function checkFileSettings (file: string): void {
  readFileSettings(file)
}

function readFileSettings (named: string | undefined): { address?: string, key?: string } {
  const file = named ?? join(homedir(), '.sedgevalvectl.ini')
  if (named === undefined && !existsSync(file)) return {}
  try {
    return readSettings(file, clientSettingsSchema).operators
  } catch (error) {
    if (isSettingsError(error)) throw createClientError('usage', (error as Error).message)
    throw error
  }
}
