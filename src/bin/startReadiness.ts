/** Tells the platform's entry whether this host takes new connections. */
import { startHttpServer } from '../adapters/httpServer/httpServer.js'

export interface Readiness {
  /** From now on the host says that it takes none. */
  refuse: () => void
  close: () => void
}

/** Starts the answer on `ip:port`. */
export async function startReadiness (address: string, isReady: () => boolean): Promise<Readiness> {
  let isRefusing = false
  const server = await startHttpServer(address, () => ({ status: !isRefusing && isReady() ? 200 : 503 }))
  return {
    refuse: () => { isRefusing = true },
    close: () => server.close()
  }
}
