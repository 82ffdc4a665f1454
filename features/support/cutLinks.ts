/** Links of a host to the store and to other hosts that can be cut. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Datagrams } from '../../src/ports/datagrams.js'
import type { Relay } from '../../src/ports/relay.js'
import type { Store, StoreOutcome } from '../../src/ports/store.js'

type IsCut = () => boolean

/** Calls on a link that is cut fail after this time. */
const callTimeoutMs = 300

/** Fails if the link is cut as the call begins, or as its response comes. */
async function callOverLink<Result> (isCut: IsCut, call: () => Promise<Result>): Promise<Result> {
  const result = isCut() ? undefined : await call()
  if (result !== undefined && !isCut()) return result
  await sleep(callTimeoutMs)
  throw new Error('the link is cut')
}

async function transactOverLink (isCut: IsCut, transact: () => Promise<StoreOutcome>): Promise<StoreOutcome> {
  return await callOverLink(isCut, transact).catch((error: Error) => ({ verdict: 'unknown', reason: error.message }))
}

export function cutStore (store: Store, isCut: IsCut): Store {
  return {
    readTable: async table => await callOverLink(isCut, async () => await store.readTable(table)),
    readRow: async (...options) => (await callOverLink(isCut, async () => ({ row: await store.readRow(...options) }))).row,
    watchTable: async (...options) => await callOverLink(isCut, async () => await store.watchTable(...options)),
    transact: async transaction => await transactOverLink(isCut, async () => await store.transact(transaction)),
    close: async () => await store.close()
  }
}

export function cutRelay (relay: Relay, isCut: IsCut): Relay {
  return {
    readUpdates: async (...options) => await callOverLink(isCut, async () => await relay.readUpdates(...options)),
    transact: async (...options) => await transactOverLink(isCut, async () => await relay.transact(...options)),
    close: async () => await relay.close()
  }
}

export function cutDatagrams (datagrams: Datagrams, isCut: IsCut): Datagrams {
  return {
    send: (address, message) => { if (!isCut()) datagrams.send(address, message) },
    receive: receiveMessage => datagrams.receive((message, sender) => { if (!isCut()) receiveMessage(message, sender) }),
    close: () => datagrams.close()
  }
}
