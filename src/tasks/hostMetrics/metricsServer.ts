/** HTTP server for a host's metrics in the Prometheus text format. */
import { startHttpServer } from '../../adapters/httpServer/httpServer.js'
import type { HttpServer } from '../../adapters/httpServer/httpServer.js'
import type { HostMetrics } from './hostMetrics.js'

export const metricsPath = '/metrics'

/** Starts the metrics server. `address` is `ip:port`. */
export async function startMetricsServer (address: string, metrics: HostMetrics): Promise<HttpServer> {
  return await startHttpServer(address, async ({ url }) => {
    if (url.pathname !== metricsPath) return { status: 404 }
    return { status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics() }
  })
}
