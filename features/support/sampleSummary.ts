/** Creates the summary of an idle endpoint that its owner sends to gateways. */
import type { EndpointSummary } from '../../src/schemas/peerMessage.js'

/** Creates a summary; what is left out is as of an idle endpoint without adapters. */
export function createSampleSummary (endpointId: string, changes: Partial<EndpointSummary> = {}): EndpointSummary {
  return {
    endpointId,
    zone: 'az-1',
    baseModel: 'base-1',
    fencing: 1,
    isReady: true,
    slots: 8,
    batchLimit: 16,
    running: 0,
    queued: 0,
    expectedWaitMs: 0,
    expectedLoadMs: 650,
    serviceIntervalMs: 100,
    evictionCostMs: 0,
    loaded: [],
    loading: [],
    ...changes
  }
}
