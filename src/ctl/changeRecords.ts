/** Sends a change and tells the operator what became of it. */
import { formatTarget } from '../core/formatTarget.js'
import type { ConfigurationRecord } from '../schemas/configuration.js'
import type { ChangeConflict, ChangeRequest, ChangeResult } from '../tasks/configuration/configurationChange.js'
import { createClientError } from './clientError.js'
import type { CommandContext } from './command.js'

const maxListedProblems = 20

/**
 * Sends a change; prints its result where it is in force or written, and throws an error with the fitting exit code where it is not.
 *
 * @example
 * await changeRecords(context, { puts: [record], removes: [], ifVersions: [] })
 */
export async function changeRecords (context: CommandContext, change: ChangeRequest): Promise<void> {
  const result = await context.client.changeRecords(change)
  if (context.isJson) context.print(JSON.stringify(result))
  checkResult(result)
  if (context.isJson) return
  if (result.type === 'accepted') context.print(`In force: configuration version ${result.version}.`)
  if (result.type === 'unconfirmed') context.printNote(`Written, but not yet in force everywhere: ${result.message}. It need not be sent again.`)
}

function checkResult (result: ChangeResult): void {
  switch (result.type) {
    case 'conflict': throw createClientError('conflict', describeConflict(result.conflicts))
    case 'refused': throw createClientError('refused', describeProblems(result.problems))
    case 'unavailable': throw createClientError('unreachable', `${result.message}; try again in ${Math.ceil(result.retryAfterMs / 1000)} s`)
    case 'unknown': throw createClientError('unreachable', `${result.message}; read the record before trying again`)
  }
}

function describeConflict (conflicts: ChangeConflict[]): string {
  const lines = conflicts.slice(0, maxListedProblems).map(({ kind, name, version, record }) => record
    ? `${kind} "${name}" is now at version ${version}: ${describeRecord(record)}`
    : `${kind} "${name}" does not exist now`)
  return ['another change came first; nothing was changed. The winner left:', ...lines.map(line => `  ${line}`),
    'Look at it and repeat the command, with --if-version to be sure.'].join('\n')
}

function describeProblems (problems: Array<{ code: string, message: string }>): string {
  const lines = problems.slice(0, maxListedProblems).map(({ message }) => `  ${message}`)
  const more = problems.length > maxListedProblems ? [`  and ${problems.length - maxListedProblems} more`] : []
  return ['the change is wrong; nothing was changed:', ...lines, ...more].join('\n')
}

/** Describes a record in one line; the hash of a key is left out. */
export function describeRecord (record: ConfigurationRecord): string {
  switch (record.kind) {
    case 'class': return formatTarget(record.target)
    case 'adapter': return `base model "${record.baseModel}", versions ${record.versions.join(', ')}, current "${record.currentVersion}"`
    case 'service': return record.routes.map(route => `${route.method} ${route.path} ${route.idempotent ? 'idempotent' : 'not idempotent'}`).join('; ')
    case 'endpoint': return record.checksFencing ? 'checks fencing numbers' : 'does not check fencing numbers'
    case 'key': return `role ${record.role}, adapters ${record.adapters.join(', ') || 'none'}, services ${record.services.join(', ') || 'none'}`
  }
}
