/** Renders the report of a check for people. */
import type { CheckFinding, CheckReport, Difference } from './checkFinding.js'

/** Lines of each section; the other findings are in the JSON document. */
const maxLines = 100
/** A prefix or name may be as long as the file. */
const maxLineLength = 1000

/**
 * Renders the lines of a report; `name` is the checked file.
 *
 * @example
 * renderReport('new.json', report)[0] // 'new.json: 1 error'
 */
export function renderReport (name: string, { errors, neverMatching, contradictions, differences }: CheckReport, isDecoded: boolean): string[] {
  return [
    `${name}: ${errors.length === 0 ? 'no errors' : errors.length === 1 ? '1 error' : `${errors.length} errors`}`,
    ...limitLines(errors.map(formatFinding)),
    ...(isDecoded ? [] : ['Nothing else was checked, as hosts could not decode it.']),
    ...renderSection('Entries that never match', neverMatching.map(formatFinding)),
    ...renderSection('Limits that contradict each other or have no effect', contradictions.map(formatFinding)),
    ...(differences ? renderSection('Differences from the version in force', differences.map(formatDifference)) : []),
    ...(differences?.length === 0 ? ['No differences from the version in force'] : [])
  ]
}

function renderSection (title: string, lines: readonly string[]): string[] {
  return lines.length === 0 ? [] : ['', `${title}: ${lines.length}`, ...limitLines(lines)]
}

function limitLines (lines: readonly string[]): string[] {
  const shown = lines.slice(0, maxLines).map(line => `  ${line.length > maxLineLength ? `${line.slice(0, maxLineLength)}…` : line}`)
  return lines.length > maxLines ? [...shown, `  … and ${lines.length - maxLines} more, see --json`] : shown
}

function formatFinding ({ path, name, message }: CheckFinding): string {
  return path === '' ? message : `${path}${name === undefined ? '' : ` ("${name}")`}: ${message}`
}

function formatDifference ({ path, change, before, after }: Difference): string {
  const values = change === 'changed' ? `: ${formatValue(before)} -> ${formatValue(after)}` : before === undefined && after === undefined ? '' : `: ${formatValue(before ?? after)}`
  return `${change.padEnd(7)}  ${path}${values}`
}

function formatValue (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value) ?? 'none'
}
