/** Steps of requests with long heads. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { encodeCallerRequestHeaders } from '../../src/platform/standinWire.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest, RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { fleetHost, fleetModel, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface LongHeadsWorld extends HostsWorld {
  rawAnswers: RawAnswer[]
}

interface Head {
  path?: string
  host?: string
  promptParts?: string
}

const heads: Readonly<Record<string, (length: number) => Head>> = Object.freeze({
  'prompt parts of zeros': length => ({ promptParts: '0'.repeat(length) }),
  'a path of slashes': length => ({ path: '/'.repeat(length) }),
  'an address of characters': length => ({ host: `${':1'.repeat(length / 2)}x` })
})

function formatRequest ({ path = `${fleetPaths.idempotent}x`, host = fleetHost, promptParts = '' }: Head): string {
  const headers = encodeCallerRequestHeaders({ requestId: createRequestId(), host, timeLeftMs: 4000, model: fleetModel, promptParts })
  return [`GET ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)].join('\r\n') + '\r\n\r\n'
}

When(/^host 1 gets (.+) of (\d+) (\S+) and a plain request from another caller$/, { timeout: 60_000 }, async function (this: LongHeadsWorld, what: string, length: string, unit: string) {
  const address = this.hostFleet.hosts[0]!.settings.callersAddress
  const callers = [await RawCaller.open(address), await RawCaller.open(address)]
  const requests = [formatRequest(heads[`${what} of ${unit}`]!(Number(length))), formatRawRequest({ kind: 'idempotent' })]
  this.rawAnswers = (await Promise.all(callers.map(async (caller, index) => await caller.send([requests[index]!])))).flat()
})

Then('each is answered within {int} ms', function (this: LongHeadsWorld, ms: number) {
  assert.deepEqual(this.rawAnswers.filter(({ error, tookMs }) => error !== undefined || tookMs > ms).map(({ body: _, ...answer }) => answer), [])
})
