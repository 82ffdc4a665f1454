/** Sends this process's figures at a steady pace; its cost does not grow with the number of requests. */
import type { Clock } from '../../ports/clock.js'
import type { MetricsOutput } from '../../ports/metrics.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import { BadInput } from './badInput.js'
import { BatchUse } from './batchUse.js'
import { recordDecisionMetrics } from './decisionMetrics.js'
import { MetricSeries } from './metricSeries.js'

const sendIntervalMs = 10_000
const sampleIntervalMs = 1000

export interface MetricsTaskOptions {
  clock: Clock
  /** Left out, figures are kept for dumps alone and sent nowhere. */
  output: MetricsOutput | undefined
  decisions: DecisionStore
  /** Endpoints that this process owns; empty on a gateway. */
  describeEndpoints: () => EndpointState[]
  readRunningRequests: () => number
}

export class MetricsTask {
  #options: MetricsTaskOptions
  #series = new MetricSeries()
  #batchUse = new BatchUse()
  #repetitions: Repetition[] = []
  #stopWatching: (() => void) | undefined
  /** Counts refused input of every port. */
  readonly badInput = new BadInput(code => this.#series.count('bad_input', 1, { code }))

  constructor (options: MetricsTaskOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, decisions, output } = this.#options
    if (!output) return
    this.#stopWatching = decisions.addWatcher(decision => recordDecisionMetrics(this.#series, decision))
    const addRepetition = (intervalMs: number, step: () => void): void => {
      this.#repetitions.push(repeatTask(clock, intervalMs, async () => step(), () => {}))
    }
    addRepetition(sampleIntervalMs, () => this.#batchUse.addSample(this.#options.describeEndpoints()))
    addRepetition(sendIntervalMs, () => this.#send(output))
  }

  async stop (): Promise<void> {
    const { output } = this.#options
    this.#repetitions.forEach(repetition => repetition.stop())
    this.#stopWatching?.()
    if (!output) return
    this.#send(output)
    await output.close()
  }

  #send (output: MetricsOutput): void {
    this.#series.send(output)
    const { decisions, describeEndpoints, readRunningRequests } = this.#options
    const store = decisions.describeState()
    output.sendGauge('decisions.kept', store.decisions, {})
    output.sendGauge('decisions.bytes', store.bytes, {})
    output.sendGauge('requests.running', readRunningRequests(), {})
    const { endpoints, classes } = this.#batchUse.readShares()
    for (const [endpoint, share] of endpoints) output.sendGauge('batch_efficiency.endpoint', share, { endpoint })
    for (const [name, share] of classes) output.sendGauge('batch_efficiency.class', share, { class: name })
    sendEndpoints(output, describeEndpoints())
  }
}

function sendEndpoints (output: MetricsOutput, endpoints: EndpointState[]): void {
  const queued = new Map<string, number>()
  for (const endpoint of endpoints) {
    const tags = { endpoint: endpoint.endpointId }
    output.sendGauge('endpoint.running', endpoint.runningCount, tags)
    output.sendGauge('endpoint.loaded', endpoint.loaded.length, tags)
    output.sendGauge('endpoint.loading', endpoint.loading.length, tags)
    for (const queue of endpoint.queues) queued.set(queue.className, (queued.get(queue.className) ?? 0) + queue.queued)
  }
  for (const [name, count] of queued) output.sendGauge('requests.queued', count, { class: name })
}
