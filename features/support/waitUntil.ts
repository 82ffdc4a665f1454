/** Waits for a condition of the real system. */
const pollIntervalMs = 10
/** Generous, so that a slow machine does not fail a test. */
const limitMs = 45_000

/** Resolves when the condition holds; rejects when it never does. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  const endMs = performance.now() + limitMs
  while (!await condition()) {
    if (performance.now() > endMs) throw new Error(`the condition did not hold within ${limitMs} ms: ${condition.toString()}`)
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs))
  }
}
