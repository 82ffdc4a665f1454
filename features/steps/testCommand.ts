/** Steps for the command that runs the scenarios. */
import assert from 'node:assert/strict'
import { spawn, spawnSync } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { After, Then, When } from '@cucumber/cucumber'
import { claimedPorts } from '../../src/standin/fleet/claimPorts.js'

interface CommandWorld {
  command: { status: number | null, stdout: string, stderr: string }
  claimants: ChildProcess[]
  basePorts: number[]
}

const commandFile = 'node_modules/@cucumber/cucumber/bin/cucumber.js'
const startMs = 30_000
/** Claims ports, prints the first one and keeps them until it is ended; its search begins where that of each other one does. */
const claimProgram = `
  Object.defineProperty(process, 'pid', { value: 7 })
  const { claimPorts } = await import(${JSON.stringify(new URL('../../src/standin/fleet/claimPorts.js', import.meta.url).href)})
  console.log(await claimPorts())
  process.stdin.resume()`

After(function (this: Partial<CommandWorld>) {
  for (const claimant of this.claimants ?? []) claimant.kill()
})

When('the test command is started with {string} processes', { timeout: startMs }, function (this: CommandWorld, number: string) {
  this.command = spawnSync(process.execPath, [commandFile, '--dry-run'], { encoding: 'utf8', env: { ...process.env, TEST_PROCESSES: number } })
})

Then(/^it ends with code (\d+) and the line "(.+)"$/, function (this: CommandWorld, code: string, line: string) {
  const { status, stdout, stderr } = this.command
  assert.deepEqual({ status, stdout, stderr }, { status: Number(code), stdout: '', stderr: `${line}\n` })
})

When('{int} processes claim ports that begin their search at the same place', { timeout: startMs }, async function (this: CommandWorld, count: number) {
  this.claimants = Array.from({ length: count }, () => spawn(process.execPath, ['--input-type=module', '-e', claimProgram], { stdio: ['pipe', 'pipe', 'inherit'] }))
  this.basePorts = await Promise.all(this.claimants.map(async ({ stdout }) => Number((await once(stdout!, 'data'))[0])))
})

Then('no two of them have a port in common', function (this: CommandWorld) {
  const ports = this.basePorts.toSorted((left, right) => left - right)
  assert.ok(ports.every((port, index) => index === 0 || port > ports[index - 1]! + claimedPorts), ports.join(', '))
})
