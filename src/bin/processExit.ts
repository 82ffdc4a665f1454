/** Runs a process until it ends: on a signal, or with an error. */
import { isSettingsError, invalidSettingsExitCode } from '../settings/settingsError.js'
import { writeToStderr } from '../writeToStderr.js'

export interface RunningProcess {
  /** Returns the state of every task for a dump, without secrets. */
  describeState?: () => unknown
  /** Handles a change of the settings file. */
  reload?: () => void
  /** Logs an error that nothing caught, with which the process ends. */
  reportUncaught?: (error: UncaughtError) => void
  /** Stops gracefully. */
  stop: () => Promise<void>
}

/** `origin`: `uncaughtException` or `unhandledRejection`. */
export interface UncaughtError {
  readonly message: string
  readonly stack: string
  readonly origin: string
}

/** Enough for the message and ten frames. */
const maxStackLength = 4000
const signals = ['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGUSR2'] as const

/**
 * Starts a program and stops it gracefully on SIGINT or SIGTERM. A second SIGINT ends it at once; a second SIGTERM is ignored.
 * SIGHUP reports that the settings file has changed. SIGUSR2 writes the state of the process to stderr as one line of JSON.
 *
 * Signals are handled from the call on, as their default action would end a process that has just begun to start: a stop that arrives
 * before `start` has resolved follows then, with exit code 0. `stopSignal` lets `start` give up a wait for what it needs. Rejects if the start
 * or the stop fails. An error that nothing catches is reported, and ends the process with exit code 1.
 *
 * @example
 * await runUntilStopped(async () => await startHost(settings, clock))
 */
export async function runUntilStopped (start: (stopSignal: AbortSignal) => Promise<RunningProcess>): Promise<void> {
  const stopController = new AbortController()
  let [running, isStopping, isReloadDue]: [RunningProcess | undefined, boolean, boolean] = [undefined, false, false]
  const stop = async (started: RunningProcess): Promise<void> => {
    await started.stop()
    process.exit(0)
  }
  const { promise: stopFailed, reject: rejectStop } = createRejection()
  const handleSignal = (signal: typeof signals[number]): void => {
    if (signal === 'SIGUSR2') {
      writeToStderr(`${JSON.stringify(running?.describeState?.() ?? {})}\n`)
    } else if (signal === 'SIGHUP') {
      if (running) running.reload?.()
      else isReloadDue = true
    } else if (!isStopping) {
      isStopping = true
      stopController.abort()
      if (running) stop(running).catch(rejectStop)
    } else if (signal === 'SIGINT') {
      process.exit(1)
    }
  }
  for (const signal of signals) process.on(signal, handleSignal)
  process.on('uncaughtException', (error, origin) => endWithUncaught(error, origin, running?.reportUncaught))
  running = await startUnlessStopped(start, stopController.signal)
  if (isReloadDue) running.reload?.()
  if (isStopping) await stop(running)
  await stopFailed
}

/** Node.js itself prints the source line of the error too, which in a bundle hides the message from a reader of the log. */
function endWithUncaught (thrown: unknown, origin: string, report: RunningProcess['reportUncaught']): never {
  const error = thrown instanceof Error ? thrown : new Error(String(thrown))
  const stack = (error.stack ?? error.message).slice(0, maxStackLength)
  if (report) report({ message: error.message, stack, origin })
  else writeToStderr(`uncaught error: ${stack}\n`)
  process.exit(1)
}

function createRejection (): { promise: Promise<never>, reject: (error: Error) => void } {
  let rejectPromise: (error: Error) => void = () => {}
  const promise = new Promise<never>((_resolve, reject) => { rejectPromise = reject })
  return { promise, reject: rejectPromise }
}

/** A start that was given up because of a stop has nothing to stop. */
async function startUnlessStopped (start: (stopSignal: AbortSignal) => Promise<RunningProcess>, stopSignal: AbortSignal): Promise<RunningProcess> {
  try {
    return await start(stopSignal)
  } catch (error) {
    if (error !== stopSignal.reason) throw error
    return { stop: async () => {} }
  }
}

/** Prints the error on one line and exits; invalid settings have their own exit code. */
export function exitWithError (name: string, error: Error): never {
  writeToStderr(`${name}: ${error.message}\n`)
  process.exit(isSettingsError(error) ? invalidSettingsExitCode : 1)
}
