/** A small deployment: the stand-in store, the project's stand-in workers, and host processes. */
import { Fleet, defaultFleetOptions } from '../../dist/src/standin/fleet/startFleet.js'
import { createEvenDraws } from '../../dist/src/standin/fleet/createEvenDraws.js'
import { DrillStore } from './drillStore.mjs'
import { Hosts } from './hosts.mjs'

/** Exit codes of `run.mjs`; Node.js itself exits with 1 where a script fails, which `run.sh` must not take for a broken rule. */
const [brokenCode, failedCode] = [10, 2]
/** A script may run for 120 seconds. */
const maxRunMs = 115_000

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(failedCode))
setTimeout(() => {
  process.stdout.write('the script did not end in time\n')
  process.exit(failedCode)
}, maxRunMs).unref()

/** Ends the script; `result` is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export function exitWith (result) {
  process.exit(result === 1 ? brokenCode : result)
}

export async function startSystem ({ hosts: hostCount, engines, services, adapterSlots, record, openRoute, seedIndexes }) {
  const store = await DrillStore.start()
  const fleet = new Fleet({ ...defaultFleetOptions, random: createEvenDraws(), engines, services, adapterSlots, heartbeatMs: 1200, ...(openRoute && { openRoute }) }, store, store)
  await fleet.start()
  const hosts = await Hosts.create(store.address, seedIndexes)
  for (let index = 1; index <= hostCount; index++) hosts.start(index)
  const ready = await Promise.all(Array.from({ length: hostCount }, async (_, index) => await hosts.waitUntilReady(index + 1)))
  record.write('start', `${hostCount} hosts, ${engines} engines, ${services} plain workers; ready: ${ready.join(' ')}`)
  return {
    store,
    fleet,
    hosts,
    isReady: ready.every(Boolean),
    stop: async () => {
      await hosts.stop()
      await fleet.stop()
    }
  }
}

/** Records each order that a worker receives. */
export function recordOrders (fleet, record, orders = []) {
  for (const { id, engine } of fleet.engines) {
    const receiveOrder = engine.receiveOrder.bind(engine)
    engine.receiveOrder = (order, holder) => {
      const status = receiveOrder(order, holder)
      orders.push({ worker: id, life: engine.startedAtMs, atMs: performance.now(), holder: holder.host, token: holder.fencing })
      record.write('order', `worker ${id} holder ${holder.host} token ${holder.fencing} ${order.kind} ${order.model}/${order.adapter ?? ''} -> ${status}`)
      return status
    }
  }
  return orders
}

export const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))
