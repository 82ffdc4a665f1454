/** Runs the whole system in one process, on in-memory stand-ins; started by `npm start`. */
import { keepEarlySignals } from './earlySignals.js'

keepEarlySignals()
await import('./runQuickstart.js')
