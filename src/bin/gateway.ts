#!/usr/bin/env node
/** `sedgevalve-gateway`: accepts callers' requests. */
import { keepEarlySignals } from './earlySignals.js'

keepEarlySignals()
await import('./runGateway.js')
