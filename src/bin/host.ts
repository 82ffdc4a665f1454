#!/usr/bin/env node
/** `sedgevalve-host`: the program of every host on the users' platform. */
import { createSystemClock } from '../adapters/clock/systemClock.js'
import { readHostSettings } from '../platform/hostSettings.js'
import { exitWithError, stopOnSignals } from './runBinary.js'
import { startHost } from './startHost.js'

async function run (): Promise<void> {
  try {
    stopOnSignals(await startHost(readHostSettings(), createSystemClock()))
  } catch (error) {
    exitWithError('sedgevalve-host', error as Error)
  }
}

run()
