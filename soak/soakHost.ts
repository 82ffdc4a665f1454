/** The program of one host in a soak: the real host with a clock that can be made to jump. */
import { keepEarlySignals } from '../src/bin/earlySignals.js'
import type { RunningProcess } from '../src/bin/processExit.js'
import type { Clock } from '../src/ports/clock.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'

/** Sent by the soak over the process's channel. */
export interface HostCommand {
  /** Moves the time of day, in milliseconds. */
  jumpMs: number
}

/** What the soak passes as the program's one argument, as JSON. */
export interface SoakHostStart {
  settings: HostSettings
  metricsPort: number
  /** Name of a mechanism that is switched off. */
  without: string | undefined
}

// A host without its soak has nothing to serve.
process.on('disconnect', () => process.exit(1))
keepEarlySignals()
process.send?.('signals are handled')
const { runUntilStopped } = await import('../src/bin/processExit.js')
await runUntilStopped(startSoakHost)

async function startSoakHost (stopSignal: AbortSignal): Promise<RunningProcess> {
  let jumpedMs = 0
  process.on('message', (command: HostCommand) => { jumpedMs += command.jumpMs })
  const [{ createSystemClock }, { startHost }, { mechanisms }] = await Promise.all([
    import('../src/adapters/clock/systemClock.js'), import('../src/bin/startHost.js'), import('./mechanisms.js')
  ])
  const { settings, metricsPort, without } = JSON.parse(process.argv[2]!) as SoakHostStart
  const { ports, changeSettings, changeClock, endsAtOnce } = without === undefined ? {} as Partial<typeof mechanisms[string]> : mechanisms[without]!
  const systemClock = createSystemClock()
  const clock: Clock = { ...systemClock, readWall: () => systemClock.readWall() + jumpedMs }
  const host = await startHost(changeSettings?.(settings) ?? settings, changeClock?.(clock) ?? clock, { metricsPort, stopSignal, ...(ports && { ports }) })
  return endsAtOnce ? { stop: async () => {} } : host
}
