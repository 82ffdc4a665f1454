/** Reads an INI file as validated, frozen settings. */
import { readFileSync } from 'node:fs'
import { parse } from 'ini'
import type { Static, TObject, TSchema } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { ValueError } from '@sinclair/typebox/value'
import { convertValues } from './convertValues.js'
import { createSettingsError } from './settingsError.js'

/**
 * Reads and validates a settings file. If `file` is `-`, returns the schema's defaults without reading a file.
 * Throws an error that names the file, section, key and expected value.
 *
 * @example
 * const settings = readSettings('gateway.ini', gatewaySettingsSchema)
 */
export function readSettings<T extends TObject> (file: string, schema: T): Readonly<Static<T>> {
  return parseSettings(file, file === '-' ? '' : readFileText(file), schema)
}

function readFileText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw createSettingsError(`${file}: the file cannot be read (${(error as NodeJS.ErrnoException).code}); name an existing INI file`)
  }
}

/** Parses and validates the text of a settings file; see `readSettings`. */
export function parseSettings<T extends TObject> (file: string, text: string, schema: T): Readonly<Static<T>> {
  const raw = structuredClone(parse(text)) as Record<string, unknown>
  const settings = Value.Default(schema, convertValues(schema, raw))
  const error = Value.Errors(schema, settings).First()
  if (error) throw createSettingsError(`${file}: ${describeError(error, schema)}`)
  return freezeDeep(settings as Static<T>)
}

function describeError (error: ValueError, schema: TObject): string {
  const [section = '', key] = error.path.slice(1).split('/')
  const sectionSchema = schema.properties[section]
  if (key === undefined && !sectionSchema) {
    return `section [${section}] is unknown; expected one of ${listNames(schema)}`
  }
  if (key === undefined) return `section [${section}] is missing or not a section; expected a section with the keys ${listNames(sectionSchema)}`
  const keySchema = (sectionSchema as TObject | undefined)?.properties?.[key] as TSchema | undefined
  if (!keySchema) return `[${section}] ${key} is unknown; expected one of ${listNames(sectionSchema)}`
  return `[${section}] ${key} is ${formatValue(keySchema, error.value)}; expected ${keySchema.description ?? error.message}`
}

function listNames (schema: TSchema | undefined): string {
  return Object.keys((schema as TObject | undefined)?.properties ?? {}).join(', ')
}

function formatValue (schema: TSchema, value: unknown): string {
  if (schema.isSecret && value !== undefined) return 'not accepted'
  return value === undefined ? 'missing' : JSON.stringify(value)
}

function freezeDeep<T> (value: T): Readonly<T> {
  if (typeof value === 'object' && value !== null) Object.values(value).forEach(freezeDeep)
  return Object.freeze(value)
}
