import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { HostMetrics } from '../../src/tasks/hostMetrics/hostMetrics.js'

interface MetricsWorld {
  hostMetrics: HostMetrics | undefined
}

After(function (this: MetricsWorld) {
  this.hostMetrics?.stop()
})

Given('the metrics of a host', function (this: MetricsWorld) {
  this.hostMetrics = new HostMetrics({ getStoreAgeMs: () => 1500, listTableAges: () => ({ op: 700 }), getActiveRequestCount: () => 3, getHeldBodyBytes: () => 4096, getWaitingRequestBytes: () => 8192, getCallerConnectionCount: () => 5, getOwnedEndpointCount: () => 2, getKnownEndpointCount: () => 8, listQuotaReplyAges: () => ({}) })
})

When('the event {string} of a request with code {string} is recorded', function (this: MetricsWorld, kind: string, code: string) {
  this.hostMetrics!.recordEvent(kind, { work: 'stream', code, sends: 2, tookMs: 400, placeMs: 3, firstPartMs: 50 })
})

When('an order of kind {string} with verdict {string} and a load of {int} ms are recorded', function (this: MetricsWorld, kind: string, verdict: string, tookMs: number) {
  this.hostMetrics!.recordEvent(`order.${kind}`, { verdict })
  this.hostMetrics!.recordEvent('adapter.loaded', { isWarm: false, tookMs })
})

When('a call {string} to the store with verdict {string} is recorded', function (this: MetricsWorld, call: string, verdict: string) {
  this.hostMetrics!.recordStoreCall(call, verdict)
})

Then('its metrics hold {string}', async function (this: MetricsWorld, line: string) {
  const text = await this.hostMetrics!.registry.metrics()
  assert.ok(text.split('\n').includes(line), `no line ${line} in\n${text}`)
})
