/** `sedgevalve-gateway`: accepts callers' requests. */
import { createHttpPlatform } from '../adapters/httpPlatform/httpPlatform.js'
import { gatewaySettingsSchema } from '../settings/settingsSchemas.js'
import { runBinary } from './runBinary.js'
import { startGateway } from './startGatewayAndScheduler.js'

runBinary({
  name: 'sedgevalve-gateway',
  purpose: 'accepts callers\' requests and sends them to schedulers to run',
  schema: gatewaySettingsSchema,
  start: async settings => await startGateway(settings, createHttpPlatform(settings.platform.address))
})
