/** The program of one host in a soak: the real host with a clock that can be made to jump. */
import { createSystemClock } from '../src/adapters/clock/systemClock.js'
import { stopOnSignals } from '../src/bin/processExit.js'
import { startHost } from '../src/bin/startHost.js'
import type { Clock } from '../src/ports/clock.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'
import { mechanisms } from './mechanisms.js'

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

const { settings, metricsPort, without } = JSON.parse(process.argv[2]!) as SoakHostStart
const { ports, changeSettings, changeClock, endsAtOnce } = without === undefined ? {} as Partial<typeof mechanisms[string]> : mechanisms[without]!

let jumpedMs = 0
process.on('message', (command: HostCommand) => { jumpedMs += command.jumpMs })
// A host without its soak has nothing to serve.
process.on('disconnect', () => process.exit(1))

const systemClock = createSystemClock()
const clock: Clock = { ...systemClock, readWall: () => systemClock.readWall() + jumpedMs }
const host = await startHost(changeSettings?.(settings) ?? settings, changeClock?.(clock) ?? clock, { metricsPort, ...(ports && { ports }) })
stopOnSignals(endsAtOnce ? { stop: async () => {} } : host)
