#!/usr/bin/env node
/** `sedgevalve-standin`: simple stand-ins for the platform, the engines and the HTTP services. */
import { keepEarlySignals } from './earlySignals.js'

keepEarlySignals()
await import('./runStandin.js')
