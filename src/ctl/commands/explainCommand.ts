/** `sedgevalvectl explain`: one request's story. */
import { formatDuration } from '../../core/formatTarget.js'
import type { Wait } from '../../schemas/decision.js'
import type { RequestTimeline, TimelineAttempt } from '../../schemas/operatorMessage.js'
import type { Command, CommandContext } from '../command.js'
import { formatCell, renderTable } from '../renderTable.js'

export const explainCommand: Command = {
  words: ['explain'],
  arguments: ['REQUEST'],
  summary: 'tells why a request waited, where it ran and what changed its way',
  options: {},
  run: explainRequest
}

async function explainRequest (context: CommandContext): Promise<void> {
  const story = await context.client.read(`/api/explain/${encodeURIComponent(context.positionals[0]!)}`) as RequestTimeline
  if (context.isJson) context.print(JSON.stringify(story))
  else renderStory(story).forEach(line => context.print(formatCell(line)))
}

/** Renders a story as lines for people. */
export function renderStory (story: RequestTimeline): string[] {
  const model = story.adapter ? `${story.adapter}@${story.version ?? ''}` : 'unknown'
  return [
    `request:  ${story.requestId}, ${story.outcome}`,
    `model:    ${model}`,
    `class:    ${story.className ?? 'unknown'}`,
    `admitted: ${story.admission}`,
    ...story.attempts.flatMap(renderAttempt),
    ...(story.turns.length > 0 ? ['what changed its way:', ...story.turns.map(turn => `  ${turn}`)] : []),
    'decisions:',
    ...renderTable(['attempt', 'decision', 'host', 'endpoint', 'chosen', 'reason'], story.decisions.map(decision => [
      decision.attempt ?? '', decision.kind, decision.host, decision.endpointId ?? '', decision.chosen, decision.reason
    ])).split('\n').map(line => `  ${line}`),
    ...(story.silentHosts.length > 0 ? [`no answer from: ${story.silentHosts.join(', ')}; what they decided is missing`] : [])
  ]
}

function renderAttempt (attempt: TimelineAttempt): string[] {
  return [
    `attempt ${attempt.attempt}: on "${attempt.endpointId ?? 'unknown'}" of ${attempt.host ? `"${attempt.host}"` : 'a host that gave no answer'}, handle ${attempt.handle ?? 'none'}`,
    `  chosen:  ${attempt.choice || 'unknown'}`,
    `  waited:  ${renderWaits(attempt.waits)}`,
    `  ended:   ${attempt.verdict ?? 'running'}: ${attempt.end}`
  ]
}

function renderWaits (waits: Wait[]): string {
  return waits.length === 0 ? 'not at all' : waits.map(({ cause, ms }) => `${formatDuration(ms)} for ${cause}`).join(', ')
}
