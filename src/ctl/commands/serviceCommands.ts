/** `sedgevalvectl service`: plain services and which of their calls may be repeated. */
import type { ServiceRecord } from '../../schemas/configuration.js'
import { describeRecord } from '../changeRecords.js'
import { createClientError } from '../clientError.js'
import type { OptionValues } from '../command.js'
import { createRecordCommands } from '../recordKind.js'

type Route = ServiceRecord['routes'][number]

export const serviceCommands = createRecordCommands<ServiceRecord>({
  kind: 'service',
  columns: ['routes'],
  renderColumns: record => [describeRecord(record)],
  setOptions: {
    idempotent: { type: 'string', multiple: true, help: 'a call that may be repeated, such as "GET /kits"; may stand several times' },
    'not-idempotent': { type: 'string', multiple: true, help: 'a call that may run once only, such as "POST /decisions"' }
  },
  buildRecord: (name, before, values) => {
    const routes = [...readRoutes(values, 'idempotent', true), ...readRoutes(values, 'not-idempotent', false)]
    return { kind: 'service', name, routes: routes.length > 0 ? routes : before?.routes ?? [] }
  }
})

function readRoutes (values: OptionValues, option: string, idempotent: boolean): Route[] {
  const texts = values[option]
  if (!Array.isArray(texts)) return []
  return texts.map(text => {
    const match = /^([A-Z]+) (\/\S*)$/.exec(String(text))
    if (!match) throw createClientError('usage', `--${option} "${text}" is wrong; expected a method and a path such as "POST /decisions"`)
    return { method: match[1]!, path: match[2]!, idempotent }
  })
}
