#!/usr/bin/env node
/** `sedgevalve-scheduler`: owns endpoints and runs requests on them. */
import { keepEarlySignals } from './earlySignals.js'

keepEarlySignals()
await import('./runScheduler.js')
