/** `sedgevalve-scheduler`: owns endpoints and runs requests on them. */
import { createHttpPlatform } from '../adapters/httpPlatform/httpPlatform.js'
import { schedulerSettingsSchema } from '../settings/settingsSchemas.js'
import { runBinary } from './runBinary.js'
import { startScheduler } from './startGatewayAndScheduler.js'

runBinary({
  name: 'sedgevalve-scheduler',
  purpose: 'owns endpoints by lease and runs requests on them',
  schema: schedulerSettingsSchema,
  start: async settings => await startScheduler(settings, createHttpPlatform(settings.platform.address))
})
