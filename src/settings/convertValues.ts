/** Converts the strings of a parsed INI file to the number types of a schema. */
import { Kind } from '@sinclair/typebox'
import type { TObject, TSchema } from '@sinclair/typebox'

const decimalPattern = /^-?\d+(\.\d+)?$/
const numberKinds = new Set(['Number', 'Integer'])

/**
 * Converts decimal numbers only. Other values stay unchanged, so that the schema check rejects them where it expects numbers.
 *
 * @example
 * convertValues(standinSettingsSchema, { engines: { count: '8' } }) // { engines: { count: 8 } }
 */
export function convertValues (schema: TObject, sections: Record<string, unknown>): Record<string, unknown> {
  const converted: Record<string, unknown> = {}
  for (const [name, section] of Object.entries(sections)) {
    const sectionSchema = schema.properties[name] as TObject | undefined
    converted[name] = isSection(section) ? convertSection(sectionSchema, section) : section
  }
  return converted
}

function convertSection (schema: TObject | undefined, section: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(section).map(([key, value]) => [key, convertValue(schema?.properties?.[key], value)]))
}

function convertValue (schema: TSchema | undefined, value: unknown): unknown {
  const isNumber = schema !== undefined && numberKinds.has(schema[Kind] as string)
  return isNumber && typeof value === 'string' && decimalPattern.test(value) ? Number(value) : value
}

function isSection (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
