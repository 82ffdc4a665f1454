#!/usr/bin/env node
/** `sedgevalve-host`: the program of every host on the users' platform. */
import { parseArgs } from 'node:util'
import { createSystemClock } from '../adapters/clock/systemClock.js'
import { readHostSettings } from '../platform/hostSettings.js'
import { exitWithError, stopOnSignals } from './runBinary.js'
import { startHost } from './startHost.js'

async function run (): Promise<void> {
  try {
    const { values } = parseArgs({ options: { metrics: { type: 'string' } } })
    const metricsPort = values.metrics === undefined ? undefined : Number(values.metrics)
    stopOnSignals(await startHost(readHostSettings(), createSystemClock(), metricsPort === undefined ? {} : { metricsPort }))
  } catch (error) {
    exitWithError('sedgevalve-host', error as Error)
  }
}

run()
