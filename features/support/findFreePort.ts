/** Finds ports for tests. */
import { createServer } from 'node:net'

/** Below the ports that the system gives out by itself. Each process has some of its own, as a port that is free now may be taken before it is used. */
const [firstPort, portsPerProcess, processes] = [10_000, 20, 400]
let next = 0

/** Returns a port of the loopback address that is free for now. */
export async function findFreePort (): Promise<number> {
  for (;;) {
    const port = firstPort + (process.pid % processes) * portsPerProcess + next++ % portsPerProcess
    if (await isFree(port)) return port
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true)))
  if (isListening) await new Promise(resolve => server.close(resolve))
  return isListening
}
