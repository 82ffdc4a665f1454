import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import type { DataTable } from '@cucumber/cucumber'
import { logsCommand } from '../../src/ctl/commands/logsCommand.js'
import type { CauseCount, HostLogLine } from '../../src/ctl/hostLog.js'
import { call } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

/** Runs the command on the lines of all hosts, with text of other programs among them. */
function runLogs (world: HostsWorld, values: Record<string, string>): unknown[] {
  const text = `Listening on 127.0.0.1\n${world.hostFleet.formatLines()}\n{"not":"a line"}\n`
  const printed: string[] = []
  logsCommand.runLocally({
    positionals: ['hosts.log'], values, isJson: true, signal: new AbortController().signal, readFile: () => text, print: line => { printed.push(line) }, printNote: () => {}
  })
  return printed.map(line => JSON.parse(line))
}

When('a stream for adapter {string} is sent that leaves after {int} ms', async function (this: HostsWorld, adapter: string, timeLeftMs: number) {
  await call(this, { kind: 'stream', host: 1, adapter, timeLeftMs })
})

Then('the last answer is refused as not run', function (this: HostsWorld) {
  const { status, retryAfterS, requestId } = this.answers.at(-1)!
  assert.equal(status, 503)
  assert.ok(retryAfterS !== undefined)
  assert.deepEqual(this.hostFleet.fleet.journal.listRuns(requestId), [])
})

Then('the story of the last request holds in this order:', function (this: HostsWorld, table: DataTable) {
  const story = runLogs(this, { request: this.answers.at(-1)!.requestId }) as HostLogLine[]
  let from = 0
  for (const { kind, text } of table.hashes()) {
    const found = story.findIndex((line, index) => index >= from && line.kind === kind && JSON.stringify(line.fields).includes(text!))
    assert.ok(found >= 0, `no ${kind} with ${text} in\n${story.map(line => JSON.stringify(line)).join('\n')}`)
    from = found + 1
  }
})

Then('the causes name {int} refused requests of one cause', function (this: HostsWorld, count: number) {
  const [causes] = runLogs(this, {}) as [CauseCount[]]
  assert.deepEqual(causes.map(cause => [cause.kind, cause.count]), [['request.refused', count]])
  assert.ok(this.answers.some(({ requestId }) => requestId === causes[0]!.requestId))
})

Then('the story of request {string} is an error that contains {string}', function (this: HostsWorld, requestId: string, text: string) {
  assert.throws(() => runLogs(this, { request: requestId }), (error: Error) => error.message.includes(text))
})
