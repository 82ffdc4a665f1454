/** How full the engines' batches are, by class, from samples of what runs. */
import type { EndpointState } from '../../schemas/operatorMessage.js'

interface Use {
  /** Sum, over the samples, of requests that ran. */
  running: number
  /** Sum, over the samples with work, of the places in the batches. */
  places: number
}

type Sampled = Pick<EndpointState, 'endpointId' | 'batchLimit' | 'runningCount' | 'running'>

/** An endpoint without work is left out: an empty batch wastes nothing that anybody waits for. */
export class BatchUse {
  #endpoints = new Map<string, Use>()
  #classes = new Map<string, Use>()

  /**
   * Takes one sample of every endpoint.
   *
   * @example
   * use.addSample(endpoints)
   */
  addSample (endpoints: Sampled[]): void {
    const busy = endpoints.filter(endpoint => endpoint.runningCount > 0)
    for (const endpoint of busy) {
      addUse(this.#endpoints, endpoint.endpointId, endpoint.runningCount, endpoint.batchLimit)
      for (const className of new Set(endpoint.running.map(run => run.className))) {
        // The batches that a class takes part in, with all that runs in them.
        addUse(this.#classes, className, endpoint.runningCount, endpoint.batchLimit)
      }
    }
  }

  /** Gives the mean share of the places that were taken, from 0 to 1, and begins anew. */
  readShares (): { endpoints: Map<string, number>, classes: Map<string, number> } {
    const shares = { endpoints: computeShares(this.#endpoints), classes: computeShares(this.#classes) }
    this.#endpoints.clear()
    this.#classes.clear()
    return shares
  }
}

function addUse (uses: Map<string, Use>, name: string, running: number, places: number): void {
  const use = uses.get(name) ?? { running: 0, places: 0 }
  use.running += running
  use.places += places
  uses.set(name, use)
}

function computeShares (uses: Map<string, Use>): Map<string, number> {
  return new Map([...uses].map(([name, { running, places }]) => [name, Math.min(1, running / places)]))
}
