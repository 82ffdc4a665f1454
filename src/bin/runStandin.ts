/** `sedgevalve-standin`: simple stand-ins for the platform, the engines and the HTTP services. */
import { createLog } from '../createLog.js'
import { standinSettingsSchema } from '../settings/settingsSchemas.js'
import { startPlatformServer } from '../standin/platformServer.js'
import { exampleRecords } from './exampleRecords.js'
import { registerRecords } from './registerRecords.js'
import { runBinary } from './runBinary.js'
import { startStandins } from './startStandins.js'

const log = createLog('standin')

runBinary({
  name: 'sedgevalve-standin',
  purpose: 'stand-ins for the platform, engines and services, for tests and trials',
  schema: standinSettingsSchema,
  start: async settings => {
    const standins = await startStandins(settings)
    const { address, port } = settings.platform
    if (settings.platform.exampleRecords) await registerRecords(standins.platform.table, exampleRecords)
    const server = await startPlatformServer({ address, port, ...standins.platform, faults: standins.platformFaults })
    log('Stand-ins run: the platform at %s, %d engines, %d services.', server.address, standins.engines.length, standins.services.length)
    return {
      stop: async () => {
        await server.stop()
        await standins.stop()
      }
    }
  }
})
