/** Finds ports for tests. */
import { createServer } from 'node:net'
import { firstTestPort, testPortCount } from './testPorts.js'

let next = 0

/** Returns a port of the loopback address that is free for now. */
export async function findFreePort (): Promise<number> {
  for (;;) {
    const port = firstTestPort + next++ % testPortCount
    if (await isFree(port)) return port
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true)))
  if (isListening) await new Promise(resolve => server.close(resolve))
  return isListening
}
