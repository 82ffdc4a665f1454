/** Shared by the steps of hosts on the stand-in platform: calls, faults and checks of responses. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { decodeHostsRow, hostsTable } from '../../src/schemas/hostRows.js'
import type { EndpointFaults } from '../../src/standin/fleet/endpointFaults.js'
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import { HostFleet } from './hostFleet.js'
import type { CallOptions } from './hostFleet.js'

export interface HostsWorld {
  hostFleet: HostFleet
  answers: FleetAnswer[]
  crashed: FleetEndpoint
  crashingRuns: number
}

export async function startHosts (world: HostsWorld, hosts: number, engines: number, slots = 4): Promise<void> {
  world.hostFleet = await HostFleet.start(hosts, { engines, adapterSlots: slots })
  world.answers = []
}

export async function call (world: HostsWorld, options: CallOptions): Promise<void> {
  world.answers.push(await world.hostFleet.call(options))
}

/** Callers meet hosts that run, each in turn. */
export function pickRunning ({ hostFleet: { hosts } }: HostsWorld, index: number): number {
  const running = hosts.flatMap((host, position) => host.process ? [position + 1] : [])
  return running[index % running.length]!
}

export function setFaults (world: HostsWorld, isStruck: (endpoint: FleetEndpoint) => boolean, faults: Partial<EndpointFaults>): void {
  for (const endpoint of world.hostFleet.fleet.endpoints) if (isStruck(endpoint)) endpoint.server.setFaults(faults)
}

export async function sendStreams (world: HostsWorld, count: number, adapters: number, withinMs: number): Promise<void> {
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await call(world, { kind: 'resumable', host: pickRunning(world, index), adapter: `a${index % adapters + 1}` })
  }))
}

/** The host that owns the first engine. */
export function findOwner (world: HostsWorld): number {
  const { fleet, hosts } = world.hostFleet
  const owner = fleet.rows.listRows(hostsTable).map(row => decodeHostsRow(row.key, row.value!)).find(row => row?.kind === 'owner' && row.name === fleet.engines[0]!.id)
  assert.ok(owner?.kind === 'owner')
  return hosts.findIndex(host => host.settings.hostName === owner.row.host) + 1
}

/** The endpoint with this number, from 1, among those of a service. */
export function findEndpoint (world: HostsWorld, number: number, service: string): FleetEndpoint {
  return world.hostFleet.fleet.endpoints.filter(endpoint => endpoint.service === service)[number - 1]!
}
