/** Creates the operators' interface of a gateway. */
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import type { Clock } from '../ports/clock.js'
import type { GatewaySettings } from '../settings/settingsSchemas.js'
import type { ConfigurationTask } from '../tasks/configuration/configurationTask.js'
import type { DecisionStore } from '../tasks/decisions/decisionStore.js'
import type { JobStore } from '../tasks/jobs/jobStore.js'
import type { GatewayTask } from '../tasks/gateway/gatewayTask.js'
import type { BadInputCounter } from '../tasks/metrics/badInputCounter.js'
import { OperatorsTask } from '../tasks/operators/operatorsTask.js'

export interface GatewayOperatorsOptions {
  settings: GatewaySettings
  platform: Platform
  clock: Clock
  configuration: ConfigurationTask
  jobs: JobStore
  decisions: DecisionStore
  gateway: GatewayTask
  badInput: BadInputCounter
  describeProcess: () => unknown
}

/** Creates the operators' task of a gateway; the caller starts it. */
export function createOperatorsTask (options: GatewayOperatorsOptions): OperatorsTask {
  const { settings, platform, clock, configuration, jobs, decisions, gateway, badInput, describeProcess } = options
  return new OperatorsTask({
    hostId: settings.host.id,
    zone: settings.host.zone,
    clock,
    hostList: platform.hostList,
    configuration: configuration.view,
    operations: configuration,
    jobs,
    decisions,
    links: gateway.links,
    operators: settings.operators,
    badInput,
    describeProcess
  })
}
