/** Decides which requests and orders the faults of an endpoint strike. */
import type { EndpointFaults, FaultShare } from './endpointFaults.js'

export class FaultDraws {
  /** One sequence for each fault, as draws of other faults would decide which requests meet it. */
  #draws = new Map<FaultShare, () => number>()
  #createDraws: () => () => number

  constructor (createDraws: () => () => number) {
    this.#createDraws = createDraws
  }

  /**
   * Draws whether a fault strikes now.
   *
   * @example
   * new FaultDraws(createEvenDraws).shouldStrike('errors', { ...noEndpointFaults, errors: 1 }) // true
   */
  shouldStrike (fault: FaultShare, faults: EndpointFaults): boolean {
    let draw = this.#draws.get(fault)
    if (!draw) {
      draw = this.#createDraws()
      this.#draws.set(fault, draw)
    }
    return draw() < faults[fault]
  }
}
