/** What a check of a configuration finds, before the platform's names of the fields are known. */
import type { AccountQuota, CallerLimits, ClientAccount, EngineSpec, Route, RoutingConfiguration, ServiceSpec } from '../../schemas/routing.js'

/** An entry of a configuration or one field of it; without `field` the entry as a whole. */
export type ConfigurationField =
  | { readonly entry: 'configuration', readonly field: 'version' | 'accounts' }
  | { readonly entry: 'limits', readonly field: keyof CallerLimits }
  | { readonly entry: 'route', readonly index: number, readonly field?: keyof Route }
  | { readonly entry: 'service', readonly name: string, readonly field?: keyof ServiceSpec }
  | { readonly entry: 'engine', readonly name: string, readonly field: keyof EngineSpec }
  | { readonly entry: 'account', readonly name: string, readonly field?: keyof ClientAccount | keyof AccountQuota }

export interface FieldFinding {
  readonly at: ConfigurationField
  readonly message: string
}

/** A finding at a field as the operator writes it. */
export interface CheckFinding {
  /** Such as `routes[3].timeoutMs`; empty for the document as a whole. */
  readonly path: string
  /** Name of the entry, where it has one that hosts follow. */
  readonly name?: string | undefined
  readonly message: string
}

/** A configuration in the platform's encoding, as hosts read it. */
export interface CheckedConfiguration {
  /** What hosts could not decode or would leave out. */
  readonly errors: readonly CheckFinding[]
  /** Undefined if hosts cannot decode it. */
  readonly decoded: DecodedConfiguration | undefined
}

export interface DecodedConfiguration {
  readonly configuration: RoutingConfiguration
  /** Values that have no effect as another one is missing, and that `configuration` does not show. */
  readonly ineffective: readonly CheckFinding[]
  /** What hosts follow, by the platform's names and with all defaults. */
  readonly effective: unknown
  /** Names a field as the operator writes it. */
  readonly describeField: (field: ConfigurationField) => string
}

/** `before` and `after` are absent where the entry is added or removed as a whole. */
export interface Difference {
  readonly path: string
  readonly change: 'added' | 'removed' | 'changed'
  readonly before?: unknown
  readonly after?: unknown
}

export interface CheckReport {
  /** What hosts could not decode, would leave out, or could not serve by. */
  readonly errors: readonly CheckFinding[]
  readonly neverMatching: readonly CheckFinding[]
  readonly contradictions: readonly CheckFinding[]
  /** Undefined without a version in force, or if the configuration cannot be decoded. */
  readonly differences: readonly Difference[] | undefined
}
