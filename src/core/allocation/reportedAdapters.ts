/** Lists the adapters of all models in an engine's reported state by their names in the allocator (`MODEL/ADAPTER`). */
import type { EngineState } from '../../ports/engineOrders.js'
import { formatAdapterName } from './adapterName.js'

export interface ReportedAdapter {
  /** `MODEL/ADAPTER`. */
  readonly name: string
  readonly version: number
}

/** Adapters that are loaded, in the order of their loads. */
export function listLoadedAdapters ({ models }: Pick<EngineState, 'models'>): ReportedAdapter[] {
  return models.flatMap(({ name: model, adapters }) => adapters.map(({ name, version }) => ({ name: formatAdapterName({ model, adapter: name }), version })))
}

/** Adapters whose loads are in progress. */
export function listLoadingAdapters ({ loading }: Pick<EngineState, 'loading'>): ReportedAdapter[] {
  return loading.map(({ model, name, version }) => ({ name: formatAdapterName({ model, adapter: name }), version }))
}
