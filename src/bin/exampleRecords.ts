/** Configuration records that the quick start registers, and the example keys that they accept. */
import type { ConfigurationRecord } from '../schemas/configuration.js'
import { hashKey } from '../tasks/gateway/callerAccess.js'

export const exampleCallerKey = 'sv-example-caller-key'
export const exampleOperatorKey = 'sv-example-operator-key'

export const exampleRecords: ConfigurationRecord[] = [
  { kind: 'class', name: 'counter', target: { kind: 'firstTokenWithin', ms: 2000 } },
  { kind: 'class', name: 'overnight', target: { kind: 'finishByTimeOfDay', time: '06:00' } },
  {
    kind: 'adapter', name: 'cluj-tax', baseModel: 'base-1', versions: ['1', '2'], currentVersion: '2', defaultClass: 'counter'
  },
  {
    kind: 'adapter', name: 'kit-tutor', baseModel: 'base-1', versions: ['1'], currentVersion: '1', defaultClass: 'counter'
  },
  {
    kind: 'service',
    name: 'claims',
    routes: [{ method: 'GET', path: '/', idempotent: true }, { method: 'POST', path: '/decisions', idempotent: false }]
  },
  {
    kind: 'key',
    name: 'example-caller',
    role: 'caller',
    hash: hashKey(exampleCallerKey),
    adapters: ['*'],
    services: ['*'],
    classes: ['*'],
    defaultClass: 'counter'
  }
]
