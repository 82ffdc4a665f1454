#!/usr/bin/env node
/** `sedgevalve-gateway`: takes callers' requests. */
import { createHttpPlatform } from '../adapters/httpPlatform/httpPlatform.js'
import { gatewaySettingsSchema } from '../settings/settingsSchemas.js'
import { MemoryConfiguration } from '../tasks/configuration/memoryConfiguration.js'
import { exampleRecords } from './exampleRecords.js'
import { runBinary } from './runBinary.js'
import { startGateway } from './startHosts.js'

runBinary({
  name: 'sedgevalve-gateway',
  purpose: 'takes callers\' requests and has schedulers run them',
  schema: gatewaySettingsSchema,
  start: async settings => {
    const configuration = new MemoryConfiguration()
    configuration.applyRecords(1, exampleRecords)
    return await startGateway(settings, createHttpPlatform(settings.platform.address), configuration)
  }
})
