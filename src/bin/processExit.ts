/** Ends a process: on a signal, or with an error. */
import { isSettingsError, invalidSettingsExitCode } from '../settings/settingsError.js'

export interface RunningProcess {
  /** Returns the state of every task for a dump, without secrets. */
  describeState?: () => unknown
  /** Handles a change of the settings file. */
  reload?: () => void
  /** Stops gracefully. */
  stop: () => Promise<void>
}

/**
 * Stops the process gracefully on SIGINT or SIGTERM. A second SIGINT ends it at once; a second SIGTERM is ignored.
 * SIGHUP reports that the settings file has changed. SIGUSR2 writes the state of the process to stderr as one line of JSON.
 */
export function stopOnSignals (running: RunningProcess): void {
  process.on('SIGUSR2', () => process.stderr.write(`${JSON.stringify(running.describeState?.() ?? {})}\n`))
  process.on('SIGHUP', () => running.reload?.())
  let isStopping = false
  const stop = async (): Promise<void> => {
    isStopping = true
    await running.stop()
    process.exit(0)
  }
  process.on('SIGINT', () => {
    if (isStopping) process.exit(1)
    stop()
  })
  process.on('SIGTERM', () => { if (!isStopping) stop() })
}

/** Prints the error on one line and exits; invalid settings have their own exit code. */
export function exitWithError (name: string, error: Error): never {
  process.stderr.write(`${name}: ${error.message}\n`)
  process.exit(isSettingsError(error) ? invalidSettingsExitCode : 1)
}
