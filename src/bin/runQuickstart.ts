/** Runs the whole system in one process, on in-memory stand-ins; started by `npm start`. */
import { defaultCallersPort, defaultOperatorsPort } from '../constants.js'
import { enableLogs } from '../createLog.js'
import { parseSettings } from '../settings/readSettings.js'
import { gatewaySettingsSchema, schedulerSettingsSchema, standinSettingsSchema } from '../settings/settingsSchemas.js'
import { hashKey } from '../tasks/gateway/callerAccess.js'
import { exampleCallerKey, exampleOperatorKey, exampleRecords } from './exampleRecords.js'
import { registerRecords } from './registerRecords.js'
import { exitWithError, runUntilStopped } from './processExit.js'
import type { RunningProcess } from './processExit.js'
import { startGateway, startScheduler } from './startGatewayAndScheduler.js'
import { startStandins } from './startStandins.js'

const peerKey = 'quick-start-peer-key'

async function startQuickstart (): Promise<RunningProcess> {
  const standins = await startStandins(parseSettings('quickstart', `
[engines]
count = 3
firstPort = 0
[services]
count = 2
firstPort = 0
[platform]
listLagMs = 100`, standinSettingsSchema))
  await registerRecords(standins.platform.table, exampleRecords)
  const scheduler = await startScheduler(parseSettings('quickstart', `
[host]
id = scheduler-1
zone = az-1
[platform]
address = 127.0.0.1:0
[peers]
port = 0
key = ${peerKey}`, schedulerSettingsSchema), standins.platform)
  const gateway = await startGateway(parseSettings('quickstart', `
[host]
id = gateway-1
zone = az-1
[platform]
address = 127.0.0.1:0
[peers]
key = ${peerKey}
[callers]
port = ${process.env.SEDGEVALVE_CALLERS_PORT ?? defaultCallersPort}
[operators]
port = ${process.env.SEDGEVALVE_OPERATORS_PORT ?? defaultOperatorsPort}
keyHash = ${hashKey(exampleOperatorKey)}`, gatewaySettingsSchema), standins.platform)
  printWelcome(gateway.callersPort, gateway.operatorsPort)
  return {
    describeState: () => ({ gateway: gateway.describeState?.(), scheduler: scheduler.describeState?.() }),
    stop: async () => {
      await gateway.stop()
      await scheduler.stop()
      await standins.stop()
    }
  }
}

function printWelcome (callersPort: number, operatorsPort: number): void {
  process.stdout.write(`sedgevalve runs on built-in stand-ins: 3 engines, 2 services.
Callers connect to http://127.0.0.1:${callersPort}. Try:

  curl -N http://127.0.0.1:${callersPort}/v1/chat/completions \\
    -H 'Authorization: Bearer ${exampleCallerKey}' -H 'Content-Type: application/json' \\
    -d '{"model": "cluj-tax", "stream": true, "messages": [{"role": "user", "content": "Is the claim valid?"}]}'

Operators open http://127.0.0.1:${operatorsPort} in a browser, with the key ${exampleOperatorKey}. Or:

  export SEDGEVALVE_OPERATOR_KEY=${exampleOperatorKey} SEDGEVALVE_ADDRESS=127.0.0.1:${operatorsPort}
  node dist/src/bin/sedgevalvectl.js status

Press Ctrl-C to stop.
`)
}

runUntilStopped(startQuickstart).catch(error => exitWithError('sedgevalve', error))
enableLogs()
