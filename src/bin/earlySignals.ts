/** Keeps the signals that a process gets before its program handles them, as their default action would end it. */

const signals = ['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGUSR2'] as const

/**
 * Keeps signals from now on until the program sets its own handlers, which then receive those that were kept. To be called before any other
 * module of the program is loaded.
 *
 * @example
 * keepEarlySignals()
 * await import('./runGateway.js')
 */
export function keepEarlySignals (): void {
  for (const signal of signals) keepSignal(signal)
}

function keepSignal (signal: typeof signals[number]): void {
  let count = 0
  const keep = (): void => { count++ }
  const passOn = (name: string | symbol): void => {
    if (name !== signal) return
    process.off('newListener', passOn)
    // Without any handler in between, the default action would be back.
    process.nextTick(() => {
      process.off(signal, keep)
      for (; count > 0; count--) process.emit(signal, signal)
    })
  }
  process.on(signal, keep)
  process.on('newListener', passOn)
}
