/** Runs a process until it ends: on a signal, or with an error. */
import { inspect } from 'node:util'
import { isSettingsError, invalidSettingsExitCode } from '../settings/settingsError.js'
import { writeToStderr } from '../writeToStderr.js'

export interface RunningProcess {
  /** Returns the state of every task for a dump, without secrets. */
  describeState?: () => unknown
  /** Handles a change of the settings file. */
  reload?: () => void
  /** Longest time of a stop that an uncaught error begins; `defaultStopMs` without it. */
  maxStopMs?: number
  /** Logs an error that nothing caught, because of which the process stops. */
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
/** With its stack, a message stays below 5000 characters. */
const maxMessageLength = 500
/** Uncaught errors that a process may have before it ends at once: the sockets of one fault may each throw on `error` and on `close`. */
const maxUncaughtErrors = 10
const defaultStopMs = 30_000
const signals = ['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGUSR2'] as const

/**
 * Starts a program and stops it gracefully on SIGINT or SIGTERM. A second SIGINT ends it at once; a second SIGTERM is ignored.
 * SIGHUP reports that the settings file has changed. SIGUSR2 writes the state of the process to stderr as one line of JSON.
 *
 * Signals are handled from the call on, as their default action would end a process that has just begun to start: a stop that arrives
 * before `start` has resolved follows then, with exit code 0. `stopSignal` lets `start` give up a wait for what it needs. Rejects if the start
 * or the stop fails. An error that nothing catches is reported and begins a stop, after which the exit code is 1; the process ends at once if it
 * has not started, if the stop takes too long, and if many errors follow.
 *
 * @example
 * await runUntilStopped(async () => await startHost(settings, clock))
 */
export async function runUntilStopped (start: (stopSignal: AbortSignal) => Promise<RunningProcess>): Promise<void> {
  const stopController = new AbortController()
  let [running, isStopping, isReloadDue, uncaughtCount]: [RunningProcess | undefined, boolean, boolean, number] = [undefined, false, false, 0]
  const stop = async (started: RunningProcess): Promise<void> => {
    await started.stop()
    process.exit(uncaughtCount > 0 ? 1 : 0)
  }
  const { promise: stopFailed, reject: rejectStop } = createRejection()
  const beginStop = (): void => {
    isStopping = true
    stopController.abort()
    if (running) stop(running).catch(rejectStop)
  }
  const handleSignal = (signal: typeof signals[number]): void => {
    if (signal === 'SIGUSR2') {
      writeToStderr(`${JSON.stringify(running?.describeState?.() ?? {})}\n`)
    } else if (signal === 'SIGHUP') {
      if (running) running.reload?.()
      else isReloadDue = true
    } else if (!isStopping) {
      beginStop()
    } else if (signal === 'SIGINT') {
      process.exit(1)
    }
  }
  const handleUncaught = (thrown: unknown, origin: string): void => {
    uncaughtCount++
    reportUncaught(thrown, origin, running?.reportUncaught)
    if (!running || uncaughtCount > maxUncaughtErrors) process.exit(1)
    if (uncaughtCount === 1) setTimeout(() => process.exit(1), running.maxStopMs ?? defaultStopMs)
    if (!isStopping) beginStop()
  }
  for (const signal of signals) process.on(signal, handleSignal)
  process.on('uncaughtException', (thrown, origin) => {
    try {
      handleUncaught(thrown, origin)
    } catch {
      process.exit(1)
    }
  })
  running = await startUnlessStopped(start, stopController.signal)
  if (isReloadDue) running.reload?.()
  if (isStopping) await stop(running)
  await stopFailed
}

/** Node.js itself prints the source line of the error too, which in a bundle hides the message from a reader of the log. */
function reportUncaught (thrown: unknown, origin: string, report: RunningProcess['reportUncaught']): void {
  const { message, stack } = describeThrown(thrown)
  if (report) report({ message, stack, origin })
  else writeToStderr(`uncaught error: ${stack.replaceAll(/\s*\n\s*/g, ' ')}`.slice(0, maxStackLength) + '\n')
}

/** What is thrown may be no error, or one whose properties throw. */
function describeThrown (thrown: unknown): { message: string, stack: string } {
  try {
    const error = thrown instanceof Error ? thrown : new Error(inspect(thrown))
    return { message: String(error.message).slice(0, maxMessageLength), stack: String(error.stack ?? error.message).slice(0, maxStackLength) }
  } catch {
    const message = 'a value that cannot be described was thrown'
    return { message, stack: message }
  }
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
