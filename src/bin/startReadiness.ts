/** Tells the platform's entry whether this host takes new connections. */
import { createServer } from 'node:http'

export interface Readiness {
  /** From now on the host says that it takes none. */
  refuse: () => void
  close: () => void
}

/** Starts the answer on `ip:port`. */
export async function startReadiness (address: string, isReady: () => boolean): Promise<Readiness> {
  let isRefusing = false
  const server = createServer((_request, response) => {
    response.writeHead(!isRefusing && isReady() ? 200 : 503, { 'content-length': '0' })
    response.end()
  })
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  return {
    refuse: () => { isRefusing = true },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
