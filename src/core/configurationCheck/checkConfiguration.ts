/** Checks a configuration before operators send it. */
import type { RoutingConfiguration } from '../../schemas/routing.js'
import type { CheckedConfiguration, CheckFinding, CheckReport, ConfigurationField, DecodedConfiguration, FieldFinding } from './checkFinding.js'
import { compareConfigurations } from './compareConfigurations.js'
import type { ComparedNames } from './compareConfigurations.js'
import { findContradictions } from './findContradictions.js'
import { findNeverMatching } from './findNeverMatching.js'
import { findUnservable, isTakenOver } from './findUnservable.js'

/**
 * Checks a configuration and compares it with the version in force, if there is one.
 *
 * @example
 * checkConfiguration(readConfigurationDocument(bytes), undefined, comparedNames).errors.length // 0
 */
export function checkConfiguration ({ errors, decoded }: CheckedConfiguration, inForce: DecodedConfiguration | undefined, names: ComparedNames): CheckReport {
  if (!decoded) return { errors, neverMatching: [], contradictions: [], differences: undefined }
  const { configuration, ineffective, effective, describeField } = decoded
  const resolve = (findings: readonly FieldFinding[]): CheckFinding[] => findings.map(({ at, message }) => ({ path: describeField(at), name: findName(at, configuration), message }))
  const differences = inForce && compareConfigurations(inForce.effective, effective, names)
  return {
    errors: [...errors, ...resolve(findUnservable(configuration)), ...resolve(differences && differences.length > 0 ? checkVersion(inForce!, decoded) : [])],
    neverMatching: resolve(findNeverMatching(configuration)),
    contradictions: [...resolve(findContradictions(configuration)), ...ineffective],
    differences
  }
}

function findName (at: ConfigurationField, { routes }: RoutingConfiguration): string | undefined {
  return at.entry === 'route' ? routes[at.index]?.name : 'name' in at ? at.name : undefined
}

function checkVersion ({ configuration: { version: inForce } }: DecodedConfiguration, { configuration: { version } }: DecodedConfiguration): FieldFinding[] {
  return isTakenOver(inForce, version)
    ? []
    : [{ at: { entry: 'configuration', field: 'version' }, message: `hosts with version ${inForce} ignore version ${version}, as it is not higher` }]
}
