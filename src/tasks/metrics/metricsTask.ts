/** Sends the metrics of this process at a fixed interval. The cost of sending does not grow with the number of requests. */
import type { Clock } from '../../ports/clock.js'
import type { MetricsOutput } from '../../ports/metrics.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import { BadInputCounter } from './badInputCounter.js'
import { BatchUtilization } from './batchUtilization.js'
import { recordDecisionMetrics } from './decisionMetrics.js'
import { MetricAggregator } from './metricAggregator.js'

const sendIntervalMs = 10_000
/** Interval of the samples of batch utilization. */
const sampleIntervalMs = 1000

export interface MetricsTaskOptions {
  clock: Clock
  /** If undefined, no metrics are sent; rejected input is still counted for dumps. */
  output: MetricsOutput | undefined
  decisions: DecisionStore
  /** Endpoints that this process owns; empty on a gateway. */
  describeEndpoints: () => EndpointState[]
  getRunningRequestCount: () => number
}

export class MetricsTask {
  #options: MetricsTaskOptions
  #aggregator = new MetricAggregator()
  #batchUtilization = new BatchUtilization()
  #repetitions: Repetition[] = []
  #stopWatchingDecisions: (() => void) | undefined
  /** Counts the rejected input of every port. */
  readonly badInput = new BadInputCounter(code => this.#aggregator.count('bad_input', 1, { code }))

  constructor (options: MetricsTaskOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, decisions, output } = this.#options
    if (!output) return
    this.#stopWatchingDecisions = decisions.addWatcher(decision => recordDecisionMetrics(this.#aggregator, decision))
    const addRepetition = (intervalMs: number, step: () => void): void => {
      this.#repetitions.push(repeatTask(clock, intervalMs, async () => step(), () => {}))
    }
    addRepetition(sampleIntervalMs, () => this.#batchUtilization.addSample(this.#options.describeEndpoints()))
    addRepetition(sendIntervalMs, () => this.#sendMetrics(output))
  }

  async stop (): Promise<void> {
    const { output } = this.#options
    this.#repetitions.forEach(repetition => repetition.stop())
    this.#stopWatchingDecisions?.()
    if (!output) return
    this.#sendMetrics(output)
    await output.close()
  }

  #sendMetrics (output: MetricsOutput): void {
    this.#aggregator.flush(output)
    const { decisions, describeEndpoints, getRunningRequestCount: getRunningCount } = this.#options
    const storeState = decisions.describeState()
    output.sendGauge('decisions.kept', storeState.decisions, {})
    output.sendGauge('decisions.bytes', storeState.bytes, {})
    output.sendGauge('requests.running', getRunningCount(), {})
    const { endpoints, classes } = this.#batchUtilization.computeAndReset()
    for (const [endpoint, fraction] of endpoints) output.sendGauge('batch_efficiency.endpoint', fraction, { endpoint })
    for (const [className, fraction] of classes) output.sendGauge('batch_efficiency.class', fraction, { class: className })
    sendEndpointMetrics(output, describeEndpoints())
  }
}

function sendEndpointMetrics (output: MetricsOutput, endpoints: EndpointState[]): void {
  const queuedByClass = new Map<string, number>()
  for (const endpoint of endpoints) {
    const tags = { endpoint: endpoint.endpointId }
    output.sendGauge('endpoint.running', endpoint.runningCount, tags)
    output.sendGauge('endpoint.loaded', endpoint.loaded.length, tags)
    output.sendGauge('endpoint.loading', endpoint.loading.length, tags)
    for (const queue of endpoint.queues) queuedByClass.set(queue.className, (queuedByClass.get(queue.className) ?? 0) + queue.queued)
  }
  for (const [className, count] of queuedByClass) output.sendGauge('requests.queued', count, { class: className })
}
