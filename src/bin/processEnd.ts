/** How a process ends: on signals, or with an error. */
import { isSettingsError, wrongSettingsExitCode } from '../settings/settingsError.js'

export interface RunningProcess {
  /** The state of every task, for dumps, without secrets. */
  describeState?: () => unknown
  /** The settings file has changed. */
  reload?: () => void
  /** Ends gracefully. */
  stop: () => Promise<void>
}

/**
 * Ends the process when a signal comes, but for SIGHUP, which tells of changed settings; SIGUSR2 writes its state to the
 * standard error as one line of JSON. A second SIGINT ends it at once; a second SIGTERM cuts nothing short.
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

/** Prints one line and ends; wrong settings have an exit code of their own. */
export function exitWithError (name: string, error: Error): never {
  process.stderr.write(`${name}: ${error.message}\n`)
  process.exit(isSettingsError(error) ? wrongSettingsExitCode : 1)
}
