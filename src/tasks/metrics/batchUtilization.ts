/** Measures the utilization of the engines' batches, by endpoint and by class, from samples of the running requests. */
import type { EndpointState } from '../../schemas/operatorMessage.js'

interface SampleSums {
  /** Sum of the running requests over all samples. */
  running: number
  /** Sum of the batch slots over the same samples. Idle endpoints do not count. */
  slots: number
}

type EndpointSample = Pick<EndpointState, 'endpointId' | 'batchLimit' | 'runningCount' | 'running'>

/** Idle endpoints are excluded: nobody waits for an empty batch, so its unused slots are no loss. */
export class BatchUtilization {
  #endpoints = new Map<string, SampleSums>()
  #classes = new Map<string, SampleSums>()

  /**
   * Adds one sample of each endpoint.
   *
   * @example
   * batchUtilization.addSample(endpoints)
   */
  addSample (endpoints: EndpointSample[]): void {
    const busy = endpoints.filter(endpoint => endpoint.runningCount > 0)
    for (const endpoint of busy) {
      addToSums(this.#endpoints, endpoint.endpointId, endpoint.runningCount, endpoint.batchLimit)
      for (const className of new Set(endpoint.running.map(run => run.className))) {
        // A class gets the whole batch that it has requests in, including requests of other classes.
        addToSums(this.#classes, className, endpoint.runningCount, endpoint.batchLimit)
      }
    }
  }

  /** Returns the mean fraction of batch slots in use, from 0 to 1, and starts a new measurement. */
  computeAndReset (): { endpoints: Map<string, number>, classes: Map<string, number> } {
    const fractions = { endpoints: computeFractions(this.#endpoints), classes: computeFractions(this.#classes) }
    this.#endpoints.clear()
    this.#classes.clear()
    return fractions
  }
}

function addToSums (sumsByName: Map<string, SampleSums>, name: string, running: number, slots: number): void {
  const sums = sumsByName.get(name) ?? { running: 0, slots: 0 }
  sums.running += running
  sums.slots += slots
  sumsByName.set(name, sums)
}

function computeFractions (sumsByName: Map<string, SampleSums>): Map<string, number> {
  return new Map([...sumsByName].map(([name, { running, slots }]) => [name, Math.min(1, running / slots)]))
}
