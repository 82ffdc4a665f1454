/** Ports that belong to one process as long as it runs. */
import { createServer } from 'node:net'

/** Below the ports that the system gives out by itself. */
const [firstPort, blockSize, blocks] = [10_000, 50, 400]

/**
 * Claims the ports from the returned one on, as many as `claimedPorts` says, on all loopback addresses. A listener holds the port
 * before them until the process ends, so that no other process that claims ports gets the same ones.
 *
 * @example
 * const basePort = await claimPorts()
 */
export async function claimPorts (): Promise<number> {
  for (let attempt = 0; attempt < blocks; attempt++) {
    const port = firstPort + (process.pid + attempt) % blocks * blockSize
    if (await holdPort(port)) return port + 1
  }
  throw new Error(`All ${blocks} blocks of ports from ${firstPort} on are claimed`)
}

export const claimedPorts = blockSize - 1

async function holdPort (port: number): Promise<boolean> {
  const server = createServer().unref()
  return await new Promise<boolean>(resolve => server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true)))
}
