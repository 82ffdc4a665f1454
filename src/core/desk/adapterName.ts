/** An adapter's name among all models of an engine: `MODEL/ADAPTER`. */

export interface AdapterName {
  readonly model: string
  /** Empty for the model itself. */
  readonly adapter: string
}

/**
 * @example
 * formatAdapter({ model: 'base', adapter: 'a7' }) // 'base/a7'
 */
export function formatAdapter ({ model, adapter }: AdapterName): string {
  return `${model}/${adapter}`
}

/** The model's name holds no slash; the adapter's may. */
export function parseAdapter (name: string): AdapterName {
  const slash = name.indexOf('/')
  return { model: name.slice(0, slash), adapter: name.slice(slash + 1) }
}
