/** Collects young garbage of this process, and measures its memory outside of the heap. */
import { getHeapStatistics, setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

type Collect = (options: { type: 'minor' }) => void

let collect: Collect | undefined

/** Memory of buffers outside of the heap, garbage included that has not been collected. */
export function measureExternalBytes (): number {
  return getHeapStatistics().external_memory
}

/**
 * Collects objects that became garbage soon after their creation. It takes about 1 ms where few of them are alive.
 *
 * @example
 * if (measureExternalBytes() > 16_000_000) collectYoungGarbage()
 */
export function collectYoungGarbage (): void {
  collect ??= getCollect()
  collect({ type: 'minor' })
}

/** The function is only visible to contexts that are created while the flag is set. Compiled code depends on the flags, so it is cleared again. */
function getCollect (): Collect {
  setFlagsFromString('--expose-gc')
  const exposed = runInNewContext('gc') as Collect
  setFlagsFromString('--no-expose-gc')
  return exposed
}
