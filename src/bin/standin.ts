#!/usr/bin/env node
/** `sedgevalve-standin`: small stand-ins of the platform, the engines and the plain services. */
import { standinSettingsSchema } from '../settings/settingsSchemas.js'
import { startPlatformServer } from '../standin/platformServer.js'
import { runBinary } from './runBinary.js'
import { startStandins } from './startStandins.js'

runBinary({
  name: 'sedgevalve-standin',
  purpose: 'stand-ins of platform, engines and services, for tests and trials',
  schema: standinSettingsSchema,
  start: async settings => {
    const standins = await startStandins(settings)
    const { address, port } = settings.platform
    const server = await startPlatformServer({ address, port, ...standins.platform })
    return {
      stop: async () => {
        await server.stop()
        await standins.stop()
      }
    }
  }
})
