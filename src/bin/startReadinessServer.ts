/** Serves the readiness check, by which the platform decides whether to route new connections to this host. */
import { startHttpServer } from '../adapters/httpServer/httpServer.js'

export interface ReadinessServer {
  /** From now on every readiness check fails. */
  setNotReady: () => void
  close: () => void
}

/** Starts the server on `ip:port`; it responds with 200 while the host is ready, else with 503. */
export async function startReadinessServer (address: string, isReady: () => boolean): Promise<ReadinessServer> {
  let isStopping = false
  const server = await startHttpServer(address, () => ({ status: !isStopping && isReady() ? 200 : 503 }))
  return {
    setNotReady: () => { isStopping = true },
    close: () => server.close()
  }
}
