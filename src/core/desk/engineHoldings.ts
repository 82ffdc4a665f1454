/** Adapters of all models that an engine tells of, by their names in its desk. */
import type { EngineState } from '../../ports/orders.js'
import { formatAdapter } from './adapterName.js'

export interface HeldAdapter {
  /** `MODEL/ADAPTER`. */
  readonly name: string
  readonly version: number
}

/** Adapters that are loaded, in the order of their loads. */
export function listHeld ({ models }: Pick<EngineState, 'models'>): HeldAdapter[] {
  return models.flatMap(({ name: model, adapters }) => adapters.map(({ name, version }) => ({ name: formatAdapter({ model, adapter: name }), version })))
}

/** Adapters whose loads are under way. */
export function listComing ({ loading }: Pick<EngineState, 'loading'>): HeldAdapter[] {
  return loading.map(({ model, name, version }) => ({ name: formatAdapter({ model, adapter: name }), version }))
}
