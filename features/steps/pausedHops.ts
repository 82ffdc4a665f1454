/** Steps of paused callers whose requests go through another host, or whose host is stopped. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Then, When } from '@cucumber/cucumber'
import type { EndlessFormName } from '../../src/standin/fleet/endlessAnswer.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { Fleet } from '../../src/standin/fleet/startFleet.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface HopsWorld extends HostsWorld {
  hopCallers: Socket[] | undefined
  hopThrown: Error[]
  recordHopThrown: (error: Error) => void
  /** Of the steps of a host of its own. */
  crowdFleet: Fleet
  crowded: BinaryProcess
  targets: Record<string, { host: string, port: number }>
}

const timeLeftMs = 6000
/** The engine lets go 900 ms after a stream has begun. */
const engineEndMs = 1500

After(function (this: Partial<HopsWorld>) {
  for (const socket of this.hopCallers ?? []) socket.destroy()
  if (this.recordHopThrown) process.off('uncaughtException', this.recordHopThrown)
})

async function pauseStreams (world: HopsWorld, { count, host, port, fleet }: { count: number, host: string, port: number, fleet: Fleet }): Promise<void> {
  const runsBefore = fleet.journal.runs.length
  world.hopCallers = Array.from({ length: count }, () => {
    const socket = connect({ host, port }).on('error', () => {}).pause()
    socket.write(formatRawRequest({ kind: 'stream', adapter: 'a1', timeLeftMs }))
    return socket
  })
  await waitUntil(() => fleet.journal.runs.length >= runsBefore + count)
  await sleep(engineEndMs)
}

When(/^(\d+) callers of host 1 pause streams of events (.+), and (the callers reset|the engine resets|the engine ends its side|host 2 stops)$/, async function (this: HopsWorld, count: string, framing: string, ends: string) {
  this.hopThrown = []
  this.recordHopThrown = error => { this.hopThrown.push(error) }
  process.on('uncaughtException', this.recordHopThrown)
  const { hosts, fleet } = this.hostFleet
  setFaults(this, ({ engine }) => engine !== undefined, { endless: `events ${framing}` as EndlessFormName, endlessEnd: ends === 'the engine resets' ? 'resets' : ends === 'the engine ends its side' ? 'ends' : '' })
  const [host, port] = hosts[0]!.settings.callersAddress.split(':')
  await pauseStreams(this, { count: Number(count), host: host!, port: Number(port), fleet })
  if (ends === 'the callers reset') for (const socket of this.hopCallers!) socket.resetAndDestroy()
  if (ends === 'host 2 stops') await this.hostFleet.stopHost(hosts[1]!)
  setFaults(this, ({ engine }) => engine !== undefined, { endless: '', endlessEnd: '' })
})

Then('nothing is thrown outside of a call in a host, and no paused caller gets a whole answer', async function (this: HopsWorld) {
  const ends = await Promise.all(this.hopCallers!.map(async socket => {
    let text = ''
    socket.on('data', part => { text = (text + String(part)).slice(-100) })
    socket.resume()
    await waitUntil(() => socket.destroyed || text.endsWith('0\r\n\r\n'))
    return text.endsWith('0\r\n\r\n')
  }))
  assert.deepEqual(this.hopThrown, [])
  assert.ok(ends.every(isEnded => !isEnded))
})

Then('host 1 serves an ordinary request', async function (this: HopsWorld) {
  await call(this, { kind: 'idempotent', host: 1 })
  assert.ok(isWhole(this.answers.at(-1)!), JSON.stringify(this.answers.at(-1)))
})

When('{int} callers ask for a stream, read nothing and stay, and the host is stopped', { timeout: 40_000 }, async function (this: HopsWorld, count: number) {
  await pauseStreams(this, { count, ...this.targets['callers\' port']!, fleet: this.crowdFleet })
  await this.crowded.stop()
})

Then('the stopped host has ended with code 0', function (this: HopsWorld) {
  assert.equal(this.crowded.process.exitCode, 0, this.crowded.output.slice(-1000) + this.crowded.errors.slice(-1000))
})
