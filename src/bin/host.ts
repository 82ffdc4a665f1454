#!/usr/bin/env node
/** `sedgevalve-host`: the program that runs on every host of the users' platform. */
import { keepEarlySignals } from './earlySignals.js'

keepEarlySignals()
await import('./runHost.js')
