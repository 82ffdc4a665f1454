/** Parses external data with schema checks that are compiled once. */
import type { Static, TSchema } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { Value } from '@sinclair/typebox/value'

/**
 * Creates the parser of a schema. A value that matches is returned unchanged; any other value is converted if that is
 * possible, else the parser throws.
 *
 * @example
 * const parseReport = createParser(engineReportSchema)
 * parseReport(JSON.parse(text)).incarnation
 */
export function createParser<T extends TSchema> (schema: T): (value: unknown) => Static<T> {
  const check = TypeCompiler.Compile(schema)
  return value => check.Check(value) ? value : Value.Parse(schema, value) as Static<T>
}
