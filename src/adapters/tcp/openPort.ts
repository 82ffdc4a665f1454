/** Opens the ports of a process that starts, and waits for one that is still in use. */
import type { Server } from 'node:net'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import { createSettingsError } from '../../settings/settingsError.js'
import { waitForRetry } from '../../waitForRetry.js'

export interface OpenPortOptions {
  /** What the port is for, such as `readiness`. */
  name: string
  /** `ip:port`. */
  address: string
  clock: Clock
  log: EventLog
  /** Ends the wait. */
  signal: AbortSignal
  /** Waits no longer than this, in milliseconds. */
  maxWaitMs: number
}

/** Interval between two attempts. */
const retryMs = 100
/** Interval of the lines that tell of the wait. */
const reportMs = 5000
const expectations: Readonly<Record<string, string>> = Object.freeze({
  EADDRINUSE: 'a port that no other process and no connection uses',
  EACCES: 'a port that the process is permitted to open',
  EADDRNOTAVAIL: 'an IP address of this machine'
})

/**
 * Opens a port by `open`, and tries again while it is in use: by a process that still ends, or by a connection for which the system drew this
 * port. Rejects with an error of the settings that name the port if it stays in use, or cannot be opened for another reason.
 *
 * @example
 * await openPort(async () => await listener.start(), { name: 'callers', address: '10.1.0.38:8149', clock, log, signal, maxWaitMs: 60_000 })
 */
export async function openPort<Opened> (open: () => Promise<Opened>, { name, address, clock, log, signal, maxWaitMs }: OpenPortOptions): Promise<Opened> {
  const startedAtMs = clock.readMonotonic()
  let reportedAtMs = -Infinity
  for (;;) {
    try {
      const opened = await open()
      if (reportedAtMs > -Infinity) log.record('start.portFreed', 'A port that was in use could be opened.', { port: name, address, waitedMs: Math.round(clock.readMonotonic() - startedAtMs) })
      return opened
    } catch (error) {
      const nowMs = clock.readMonotonic()
      if (!isPortInUse(error as Error) || nowMs - startedAtMs >= maxWaitMs) throw describePortError(name, address, error as NodeJS.ErrnoException)
      if (nowMs - reportedAtMs >= reportMs) {
        reportedAtMs = nowMs
        log.record('start.portInUse', 'A port of this host is in use; the start waits for it.', { port: name, address, waitedMs: Math.round(nowMs - startedAtMs) })
      }
      await waitForRetry(clock, retryMs, signal)
    }
  }
}

/** Whether a port could not be opened because something else has it. */
export function isPortInUse (error: Error): boolean {
  return (error as NodeJS.ErrnoException).code === 'EADDRINUSE'
}

/** Listens on `ip:port`; a server that could not may be called with it again. */
export async function listenOn (server: Server, address: string, backlog?: number): Promise<void> {
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    const receiveListening = (): void => {
      server.removeListener('error', receiveError)
      resolve()
    }
    const receiveError = (error: Error): void => {
      server.removeListener('listening', receiveListening)
      reject(error)
    }
    server.once('listening', receiveListening)
    server.once('error', receiveError)
    server.listen({ host, port: Number(port), backlog })
  })
}

function describePortError (name: string, address: string, error: NodeJS.ErrnoException): Error {
  const expected = expectations[error.code ?? '']
  return expected === undefined ? error : createSettingsError(`the address of ${name} is ${address}, which cannot be opened (${error.code}); expected ${expected}`)
}
