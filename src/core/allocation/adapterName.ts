/** An adapter's name that is unique across all models of an engine: `MODEL/ADAPTER`. */

export interface AdapterName {
  readonly model: string
  /** Empty for the base model. */
  readonly adapter: string
}

/**
 * @example
 * formatAdapterName({ model: 'base', adapter: 'a7' }) // 'base/a7'
 */
export function formatAdapterName ({ model, adapter }: AdapterName): string {
  return `${model}/${adapter}`
}

/** A model's name contains no slash; an adapter's name may. */
export function parseAdapterName (name: string): AdapterName {
  const slash = name.indexOf('/')
  return { model: name.slice(0, slash), adapter: name.slice(slash + 1) }
}
