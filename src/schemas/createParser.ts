/** Parses what comes from outside with checks that are compiled once. */
import type { Static, TSchema } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { Value } from '@sinclair/typebox/value'

/**
 * Creates the parser of a schema. A value that matches is taken as it is; another one is converted where that is
 * possible, and refused with an error otherwise.
 *
 * @example
 * const parseReport = createParser(engineReportSchema)
 * parseReport(JSON.parse(text)).incarnation
 */
export function createParser<T extends TSchema> (schema: T): (value: unknown) => Static<T> {
  const check = TypeCompiler.Compile(schema)
  return value => check.Check(value) ? value : Value.Parse(schema, value) as Static<T>
}
