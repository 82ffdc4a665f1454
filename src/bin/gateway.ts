#!/usr/bin/env node
/** `sedgevalve-gateway`: takes callers' requests. */
import { createHttpPlatform } from '../adapters/httpPlatform/httpPlatform.js'
import { gatewaySettingsSchema } from '../settings/settingsSchemas.js'
import { runBinary } from './runBinary.js'
import { startGateway } from './startHosts.js'

runBinary({
  name: 'sedgevalve-gateway',
  purpose: 'takes callers\' requests and has schedulers run them',
  schema: gatewaySettingsSchema,
  start: async settings => await startGateway(settings, createHttpPlatform(settings.platform.address))
})
