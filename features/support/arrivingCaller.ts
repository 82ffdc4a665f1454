/** A thread that opens connections and sends a request on each, whether or not the main thread runs meanwhile. */
import { parentPort } from 'node:worker_threads'
import { RawCaller } from '../../src/standin/fleet/rawCaller.js'

export interface ArrivingOrder {
  /** `ip:port`. */
  address: string
  count: number
}

// Cucumber loads this file in the main thread too, which has no parent.
parentPort?.once('message', async ({ address, count }: ArrivingOrder) => {
  const answers = await Promise.all(Array.from({ length: count }, async () => await (await RawCaller.open(address)).send([{ kind: 'once' }])))
  parentPort?.postMessage(answers.flat())
})
parentPort?.postMessage('ready')
