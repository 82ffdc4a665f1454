/** The operator's changes of plain routes, and requests that show which configuration is in force on each host. */
import { encodeConfigurationRow } from '../../dist/src/platform/standinWire.js'
import { createConfiguration, plainService } from '../../dist/src/standin/fleet/startFleet.js'
import { createRequestId } from '../../dist/src/standin/fleet/fleetCaller.js'
import { sleep } from './system.mjs'

export const otherService = 'desk-2'
const probeIntervalMs = 500
const probeTimeoutMs = 2000

export class Probes {
  #options
  #answers = []

  /** `adapterSlots` of the engines, as in the fleet. */
  constructor ({ store, fleet, hosts, caller, record, hostCount, adapterSlots }) {
    this.#options = { store, fleet, hosts, caller, record, hostCount, adapterSlots }
  }

  /** Writes a configuration with plain routes besides those of the fleet, by name and service; returns when it was acknowledged. */
  changeConfiguration (version, plainRoutes) {
    const { store, record, adapterSlots } = this.#options
    const base = createConfiguration(version, adapterSlots)
    const plain = base.routes.find(route => route.kind === 'idempotent')
    const routes = Object.entries(plainRoutes).map(([name, service]) => ({ ...plain, name, prefix: `/${name}/`, targets: [{ service, weight: 1 }] }))
    const services = new Map([...base.services, [otherService, { ...base.services.get(plainService), name: otherService }]])
    const isTaken = store.write(encodeConfigurationRow({ ...base, routes: [...base.routes, ...routes], services }))
    record.write('operator', `configuration ${version} ${isTaken ? `acknowledged with row version ${store.version}` : 'not taken'}: ${JSON.stringify(plainRoutes)}`)
    return performance.now()
  }

  /** Asks each host for each route until `untilMs`. */
  async send (routes, untilMs) {
    const { fleet, hosts, caller, record, hostCount } = this.#options
    while (performance.now() < untilMs) {
      for (const route of routes) {
        for (let index = 1; index <= hostCount; index++) {
          const requestId = createRequestId()
          const sentAtMs = performance.now()
          caller.readStatus(hosts.callersAddress(index), `/${route}/x`, { requestId, signal: AbortSignal.timeout(probeTimeoutMs) }).then(status => {
            const [run] = fleet.journal.listRuns(requestId)
            this.#answers.push({ host: index, route, sentAtMs, status, service: run?.service })
            record.write('probe', `host-${index} /${route}/ request ${requestId}: status ${status}${run ? ` run by ${run.service}` : ''}`)
          }, error => record.write('probe', `host-${index} /${route}/ request ${requestId}: ${error.message}`))
        }
      }
      await sleep(probeIntervalMs)
    }
  }

  /**
   * CONFIG: requests sent later than `dueAtMs` that are handled as only an older version allows. `plainRoutes` are those of the
   * version in force.
   */
  judge (plainRoutes, dueAtMs) {
    const due = this.#answers.filter(({ sentAtMs }) => sentAtMs > dueAtMs)
    const breaches = due.filter(({ route, status, service }) => {
      const expected = plainRoutes[route]
      return expected === undefined ? service !== undefined : status === 404 || (service !== undefined && service !== expected)
    })
    return { due, breaches }
  }
}
