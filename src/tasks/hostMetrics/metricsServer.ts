/** Serves a host's metrics as text. */
import { createServer } from 'node:http'
import type { HostMetrics } from './hostMetrics.js'

export interface MetricsServer {
  close: () => void
}

export const metricsPath = '/metrics'

/** Starts the server on an address and port. */
export async function startMetricsServer (address: string, port: number, metrics: HostMetrics): Promise<MetricsServer> {
  const server = createServer((request, response) => {
    if (request.url !== metricsPath) {
      response.writeHead(404).end()
      return
    }
    metrics.registry.metrics().then(
      text => response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text),
      (error: Error) => response.writeHead(500).end(error.message)
    )
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
  return {
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
