/** `sedgevalvectl logs`: one request's story, or what was not served and why, from the lines that hosts have written. */
import { createClientError } from '../clientError.js'
import { readOption } from '../command.js'
import type { LocalCommand } from '../command.js'
import { countCauses, parseHostLog, selectStory } from '../hostLog.js'
import type { HostLogLine } from '../hostLog.js'
import { renderTable } from '../renderTable.js'

export const logsCommand: LocalCommand = {
  words: ['logs'],
  arguments: ['FILE'],
  summary: 'explains a request from hosts\' log lines, or counts what was not served by cause; "-" reads the standard input',
  options: { request: { type: 'string', help: 'id of the request to explain' } },
  runLocally: ({ positionals, values, isJson, readFile, print }) => {
    const lines = parseHostLog(readFile(positionals[0]!))
    const requestId = readOption(values, 'request')
    if (requestId === undefined) {
      const causes = countCauses(lines)
      if (isJson) print(JSON.stringify(causes))
      else print(renderTable(['outcome', 'count', 'cause', 'example'], causes.map(({ kind, count, cause, requestId: example }) => [kind, count, cause, example])))
      return
    }
    const story = selectStory(lines, requestId)
    if (story.length === 0) throw createClientError('refused', `no line names request "${requestId}"; lines of served requests may be left out under load`)
    for (const line of story) print(isJson ? JSON.stringify(line) : formatLine(line, story[0]!.time))
  }
}

function formatLine ({ time, host, kind, message, fields }: HostLogLine, startedAt: number): string {
  const details = Object.entries(fields).filter(([, value]) => value !== undefined && value !== '').map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `+${time - startedAt} ms  ${host}  ${kind}  ${message}  ${details.join(' ')}`
}
