/** Two of three hosts lose the store and the third host together. Both sides give orders to the same engines. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createEvenDraws } from '../../dist/src/standin/fleet/createEvenDraws.js'
import { FleetCaller } from '../../dist/src/standin/fleet/fleetCaller.js'
import { RowStore } from '../../dist/src/standin/fleet/rowStore.js'
import { defaultFleetOptions, Fleet } from '../../dist/src/standin/fleet/startFleet.js'
import { Hosts, wait } from '../lib-2/hosts.mjs'
import { Links } from '../lib-2/links.mjs'
import { PagedStore } from '../lib-2/pagedStore.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const hostCount = 3
/** A store reader. */
const connectedHost = 1
/** As in the day beside this script. */
const cutMs = 12_000
/** More than the engines have places for, so that there are orders all the time. */
const adapters = 40
const callersPerHost = 4

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ isTroubled, record, addCleanup }) => {
  const rows = new RowStore()
  const stores = []
  const hosts = new Hosts(index => stores[index - 1].address)
  addCleanup(async () => await hosts.stop())
  const indexes = Array.from({ length: hostCount }, (_, index) => index + 1)
  const places = []
  for (const index of indexes) places.push(await hosts.findPlace(index))
  const links = new Links(places)
  await links.open()
  addCleanup(() => links.close())
  for (const index of indexes) {
    stores.push(new PagedStore(rows, row => links.rewrite(index, row)))
    await stores.at(-1).start()
    addCleanup(async () => await stores[index - 1].stop())
  }
  const fleet = new Fleet({ ...defaultFleetOptions, engines: 4, services: 1, random: createEvenDraws(), heartbeatMs: 1200 }, rows, { stop: async () => {} })
  await fleet.start()
  addCleanup(async () => await fleet.stop())
  for (const { id, engine } of fleet.engines) watchOrders(id, engine, record)
  for (const index of indexes) await hosts.start(index)
  for (const host of hosts.list) await hosts.waitUntilReady(host)
  await wait(4000)

  const load = { isOver: false, answered: 0 }
  const callers = hosts.list.flatMap(host => Array.from({ length: callersPerHost }, async () => {
    const caller = new FleetCaller()
    while (!load.isOver) {
      const { status } = await caller.call({ kind: 'stream', address: host.settings.callersAddress, adapter: `a${Math.floor(Math.random() * adapters)}` })
      if (status === 200) load.answered++
      else await wait(50)
    }
    await caller.close()
  }))
  await wait(3000)
  const listOrdersOutOfTurn = () => fleet.listViolations().filter(text => text.includes('fencing'))
  const before = listOrdersOutOfTurn().length
  if (isTroubled) {
    for (const index of indexes) {
      if (index === connectedHost) continue
      links.cut(index, connectedHost)
      stores[index - 1].isCut = true
    }
    record('hosts 2 and 3 have lost the store and host 1')
  }
  await wait(cutMs)
  const violations = listOrdersOutOfTurn().slice(before)
  links.heal()
  for (const store of stores) store.isCut = false
  record('all links are sound again; what follows is not judged')
  load.isOver = true
  await Promise.race([Promise.all(callers), wait(5000)])
  record(`${load.answered} streams were answered; orders out of turn before: ${before}`)
  if (load.answered === 0) throw new Error('no stream was answered')
  return violations.length > 0 ? [`ONE: ${violations.length} orders with a lower fencing token after a higher one, or of two holders with one; the first: ${violations[0]}`] : []
})

/** Writes each order that an engine receives to the record. */
function watchOrders (id, engine, record) {
  const receiveOrder = engine.receiveOrder.bind(engine)
  engine.receiveOrder = (order, holder) => {
    const status = receiveOrder(order, holder)
    record(`${id} got ${order.kind} ${order.adapter ?? 'model'} from ${holder.host}, fence ${holder.fencing}, answered ${status}`)
    return status
  }
}
