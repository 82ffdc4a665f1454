/** `sedgevalvectl endpoint`: what must be known of an endpoint beside the platform's list. */
import type { EndpointRecord } from '../../schemas/configuration.js'
import { createClientError } from '../clientError.js'
import { readOption } from '../command.js'
import { createRecordCommands } from '../recordKind.js'

export const endpointCommands = createRecordCommands<EndpointRecord>({
  kind: 'endpoint',
  columns: ['checks fencing'],
  renderColumns: record => [record.checksFencing ? 'yes' : 'no'],
  setOptions: { 'checks-fencing': { type: 'string', help: 'yes where the engine refuses orders with an old fencing number, else no' } },
  buildRecord: (name, _before, values) => {
    const text = readOption(values, 'checks-fencing')
    if (text !== 'yes' && text !== 'no') throw createClientError('usage', 'give --checks-fencing yes or --checks-fencing no')
    return { kind: 'endpoint', name, checksFencing: text === 'yes' }
  }
})
