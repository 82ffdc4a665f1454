/** Finds ports for tests. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Returns a port of the loopback address that is free for now. */
export async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}
