/** `sedgevalvectl watch`: decisions as they are taken. */
import type { Decision } from '../../schemas/decision.js'
import type { ServerEvent } from '../../tasks/operators/eventParser.js'
import { createClientError } from '../clientError.js'
import { readOption } from '../command.js'
import type { Command, CommandContext, OptionDescriptions } from '../command.js'
import { formatCell } from '../renderTable.js'

const filterOptions: OptionDescriptions = {
  class: { type: 'string', help: 'decisions about this class alone' },
  adapter: { type: 'string', help: 'decisions about this adapter alone' },
  endpoint: { type: 'string', help: 'decisions about this endpoint alone' },
  host: { type: 'string', help: 'decisions of this host alone' },
  request: { type: 'string', help: 'decisions about this request alone' }
}

export const watchCommand: Command = {
  words: ['watch'],
  arguments: [],
  summary: 'shows decisions of all hosts as they are taken, until Ctrl-C',
  options: filterOptions,
  run: watchDecisions
}

async function watchDecisions (context: CommandContext): Promise<void> {
  const query = new URLSearchParams()
  for (const name of Object.keys(filterOptions)) {
    const value = readOption(context.values, name)
    if (value !== undefined) query.set(name, value)
  }
  for await (const event of context.client.openFeed(`/api/watch?${query}`, context.signal)) printEvent(context, event)
  if (!context.signal.aborted) throw createClientError('unreachable', 'the gateway has ended the feed; watch on another with --address')
}

function printEvent (context: CommandContext, event: ServerEvent): void {
  const value: unknown = JSON.parse(event.data)
  if (event.name === 'missed') {
    const { count } = value as { count: number }
    if (context.isJson) context.print(JSON.stringify({ missed: count }))
    else context.printNote(`${count} decisions were missed; a filter makes the feed slower`)
  } else if (event.name === 'decision') {
    context.print(context.isJson ? event.data : formatCell(renderDecision(value as Decision)))
  }
}

/** Renders a decision in one line. */
export function renderDecision (decision: Decision): string {
  const time = new Date(decision.atMs).toISOString().slice(11, 23)
  const model = decision.adapter && `${decision.adapter}@${decision.version ?? ''}`
  const attempt = decision.attempt === undefined ? '' : `/${decision.attempt}`
  const about = [decision.requestId && `${decision.requestId}${attempt}`, decision.className, model, decision.endpointId]
  return [time, decision.host, decision.kind, ...about.filter(Boolean), `-> ${decision.chosen}: ${decision.reason}`].join(' ')
}
