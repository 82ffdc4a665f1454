/** `sedgevalvectl class`: classes of work and their targets. */
import { formatTarget, parseDurationMs } from '../../core/formatTarget.js'
import type { ClassRecord, Target } from '../../schemas/configuration.js'
import { createClientError } from '../clientError.js'
import { readOption } from '../command.js'
import type { OptionValues } from '../command.js'
import { createRecordCommands } from '../recordKind.js'

const durationKinds = {
  'first-token-within': 'firstTokenWithin',
  'whole-answer-within': 'wholeAnswerWithin',
  'finish-within': 'finishWithin'
} as const
const timePattern = /^([01][0-9]|2[0-3]):[0-5][0-9]$/

export const classCommands = createRecordCommands<ClassRecord>({
  kind: 'class',
  columns: ['target'],
  renderColumns: record => [formatTarget(record.target)],
  setOptions: {
    'first-token-within': { type: 'string', help: 'a duration such as 450ms, from the request to the first token' },
    'whole-answer-within': { type: 'string', help: 'a duration such as 5s, from the request to the whole answer' },
    'finish-within': { type: 'string', help: 'a duration such as 4h, for work that nobody waits for' },
    'finish-by': { type: 'string', help: 'a time of day in UTC such as 06:00, for work that nobody waits for' }
  },
  buildRecord: (name, _before, values) => ({ kind: 'class', name, target: resolveTarget(values) })
})

/**
 * Reads the one target on the command line. Throws a usage error where there is none, or more than one.
 *
 * @example
 * resolveTarget({ 'finish-by': '06:00' }) // { kind: 'finishByTimeOfDay', time: '06:00' }
 */
export function resolveTarget (values: OptionValues): Target {
  const targets = Object.entries(durationKinds).flatMap(([option, kind]) => {
    const text = readOption(values, option)
    return text === undefined ? [] : [{ kind, ms: readDuration(option, text) }]
  })
  const time = readOption(values, 'finish-by')
  const all: Target[] = time === undefined ? targets : [...targets, { kind: 'finishByTimeOfDay', time: readTime(time) }]
  if (all.length !== 1) {
    throw createClientError('usage', 'a class has one target; give one of --first-token-within, --whole-answer-within, --finish-within and --finish-by')
  }
  return all[0]!
}

function readDuration (option: string, text: string): number {
  const ms = parseDurationMs(text)
  if (ms === undefined) throw createClientError('usage', `--${option} "${text}" is wrong; expected a duration such as 450ms, 5s, 10min or 4h`)
  return ms
}

function readTime (text: string): string {
  if (!timePattern.test(text)) throw createClientError('usage', `--finish-by "${text}" is wrong; expected a time of day in UTC such as 06:00`)
  return text
}
