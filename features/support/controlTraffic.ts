/** Nine busy hosts with twelve endpoints on a virtual clock, to count the bytes of the messages between them. */
import fc from 'fast-check'
import { encodeBatch } from '../../src/adapters/peerLink/linkMethod.js'
import type { EndpointSummary } from '../../src/schemas/peerMessage.js'
import { EndpointSummaryPublisher } from '../../src/tasks/membership/endpointSummaryPublisher.js'
import { PeerCluster } from './peerCluster.js'
import { createSampleSummary } from './sampleSummary.js'

const slots = 8
const adapters = 3000
const seed = 5

export interface TrafficOptions {
  hosts: number
  endpoints: number
  seconds: number
  requestsPerSecond: number
  loadsPerSecond: number
}

/** Bytes a second for a host, by the type of message. */
export type Traffic = Map<string, number>

type PickNumber = (below: number) => number

/** Draws whole numbers; the same ones in every run. */
function createPick (count: number): PickNumber {
  const [values = []] = fc.sample(fc.array(fc.nat(1_000_000), { minLength: count, maxLength: count }), { seed, numRuns: 1 })
  let index = 0
  return below => values[index++ % values.length]! % below
}

function createSummary (index: number, pick: PickNumber): EndpointSummary {
  return createSampleSummary(`engine-${index}`, {
    slots, serviceIntervalMs: 60, evictionCostMs: 1, loaded: Array.from({ length: slots }, () => formatName(pick))
  })
}

function formatName (pick: PickNumber): string {
  return `adapter-${pick(adapters)}@${pick(5)}`
}

/** Runs the hosts and measures what they send to peers and gateways. */
export async function measureTraffic (options: TrafficOptions): Promise<Traffic> {
  const { hosts, endpoints, seconds, requestsPerSecond, loadsPerSecond } = options
  const pick = createPick(10_000)
  const cluster = new PeerCluster({ listLagMs: 0, budget: { loadsPerSecond, loadsAtFullSpeed: 3 } })
  const summaries = Array.from({ length: endpoints }, (_, index) => createSummary(index, pick))
  const publishers: EndpointSummaryPublisher[] = []
  let summaryBytes = 0
  for (let index = 1; index <= hosts; index++) {
    const { hostId } = await cluster.addHost(index)
    const publisher = new EndpointSummaryPublisher({
      clock: cluster.clock,
      hostId,
      getSummaries: () => structuredClone(summaries.filter((_, endpoint) => endpoint % hosts === index - 1)),
      isLeaving: () => false,
      sendToGateways: message => { summaryBytes += encodeBatch([message]).length * hosts }
    })
    publisher.start()
    publishers.push(publisher)
  }
  cluster.owners = summaries.map(({ endpointId }, index) => ({ endpointId, hostId: `scheduler-${index % hosts + 1}`, fencing: 1 }))
  await cluster.run(3000)
  cluster.transport.bytes.clear()
  summaryBytes = 0
  for (let index = 0; index < seconds * requestsPerSecond; index++) {
    const endpoint = pick(endpoints)
    const summary = summaries[endpoint]!
    Object.assign(summary, { running: pick(17), queued: pick(6), expectedWaitMs: pick(400), evictionCostMs: pick(50) })
    const publisher = publishers[endpoint % hosts]!
    publisher.recordDispatch()
    if (index % Math.round(requestsPerSecond / loadsPerSecond) === 0) startLoad(cluster, summary, publisher, endpoint % hosts + 1, pick)
    await cluster.run(1000 / requestsPerSecond)
  }
  const bytes = new Map([...cluster.transport.bytes, ['endpointChanges', summaryBytes] as const])
  return new Map([...bytes].map(([type, count]) => [type, count / seconds / hosts]))
}

/** Replaces a loaded adapter by one that is loading, under a permit. */
function startLoad (cluster: PeerCluster, summary: EndpointSummary, publisher: EndpointSummaryPublisher, hostIndex: number, pick: PickNumber): void {
  summary.loaded = summary.loaded.slice(1)
  summary.loading = [formatName(pick)]
  publisher.scheduleChanges()
  cluster.runLoad(`scheduler-${hostIndex}`, 'load', 500, 650)
  cluster.clock.setTimer(() => {
    summary.loaded = [...summary.loaded, ...summary.loading]
    summary.loading = []
    publisher.scheduleChanges()
  }, 650)
}
