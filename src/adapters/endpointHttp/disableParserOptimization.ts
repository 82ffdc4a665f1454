/** Keeps the parser of the HTTP client, which is WebAssembly, at the code of the baseline compiler. */
import { setFlagsFromString } from 'node:v8'

/**
 * Optimizing the parser takes 45 MB of memory for up to 0.7 s, and 0.3 s of processor time, after some 100 responses; the optimized code saves no
 * measurable time. V8 reads these flags when it compiles a module, so this is called before the first connection is opened. They equal
 * what `--liftoff-only` sets, so that compiled code which was made with it stays valid.
 *
 * @example
 * disableParserOptimization()
 */
export function disableParserOptimization (): void {
  setFlagsFromString('--no-wasm-tier-up')
  setFlagsFromString('--no-wasm-dynamic-tiering')
}
