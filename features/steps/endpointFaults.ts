/** Steps of the faults that endpoints of the stand-in platform have. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { Client } from 'undici'
import { createEvenDraws } from '../../src/standin/fleet/createEvenDraws.js'
import { fleetHost, fleetPaths, plainService } from '../../src/standin/fleet/startFleet.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import { encodeCallerRequestHeaders } from '../../src/platform/standinWire.js'
import type { FaultShare } from '../../src/standin/fleet/endpointFaults.js'
import { startEndpointServer } from '../../src/standin/fleet/endpointServer.js'
import type { EndpointServer } from '../../src/standin/fleet/endpointServer.js'
import { RunJournal } from '../../src/standin/fleet/runJournal.js'

interface EndpointFaultsWorld {
  faultyEndpoint: EndpointServer | undefined
  struckCount: number
}

After(async function (this: EndpointFaultsWorld) {
  await this.faultyEndpoint?.stop()
})

Given('a service whose endpoint has the fault {string} for half of its requests', async function (this: EndpointFaultsWorld, fault: FaultShare) {
  this.faultyEndpoint = await startEndpointServer({ id: 'i-1', service: plainService, listenAddress: '127.0.0.1:0', journal: new RunJournal(), random: createEvenDraws(), engine: undefined, places: 6, workMs: 1 })
  this.faultyEndpoint.setFaults({ [fault]: 0.5 })
})

When('it gets {int} requests one after the other', async function (this: EndpointFaultsWorld, count: number) {
  this.struckCount = 0
  const client = new Client(`http://${this.faultyEndpoint!.address}`)
  for (let index = 0; index < count; index++) if (!await isAnswered(client)) this.struckCount++
  await client.close()
})

Then('{int} of them are not answered as a whole, give or take {int}', function (this: EndpointFaultsWorld, count: number, slack: number) {
  assert.ok(Math.abs(this.struckCount - count) <= slack, `${this.struckCount} were struck`)
})

async function isAnswered (client: Client): Promise<boolean> {
  const requestId = createRequestId()
  const headers = encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs: 1000 })
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path: `${fleetPaths.once}1`, headers })
    return await body.text() === `done ${requestId}` && statusCode === 200
  } catch {
    return false
  }
}
