/** The HTTP clients of all parts, whose connections outlast a paused response. Clients of the library itself are refused by the linter elsewhere. */
import type { Socket } from 'node:net'
import { Agent, Client, Pool } from 'undici'
import { createConnector } from './createConnector.js'

/** The library's own. */
const defaultConnectTimeoutMs = 10_000

interface ConnectOptions {
  /** Time for opening a connection, in milliseconds; 10 s if left out. */
  connectTimeoutMs?: number
}

export type HttpAgentOptions = Omit<Agent.Options, 'connect' | 'connectTimeout' | 'factory'> & ConnectOptions
export type HttpPoolOptions = Omit<Pool.Options, 'connect' | 'connectTimeout' | 'factory'> & ConnectOptions
export type HttpClientOptions = Omit<Client.Options, 'connect' | 'connectTimeout'> & ConnectOptions & {
  /** Called with each connection that was opened. */
  receiveSocket?: (socket: Socket) => void
}

/**
 * Creates a client of any number of origins.
 *
 * @example
 * const agent = createHttpAgent({ connections: 2, connectTimeoutMs: 400 })
 * const { body } = await agent.request({ origin: 'http://10.1.0.38:8144', path: '/news', method: 'GET' })
 */
export function createHttpAgent ({ connectTimeoutMs = defaultConnectTimeoutMs, ...options }: HttpAgentOptions = {}): Agent {
  return new Agent({ ...options, connect: createConnector(connectTimeoutMs) })
}

/**
 * Creates a client of one address with several connections.
 *
 * @example
 * const pool = createHttpPool('10.200.1.7:8142', { connections: 6, connectTimeoutMs: 500 })
 */
export function createHttpPool (address: string, { connectTimeoutMs = defaultConnectTimeoutMs, ...options }: HttpPoolOptions = {}): Pool {
  return new Pool(`http://${address}`, { ...options, connect: createConnector(connectTimeoutMs) })
}

/**
 * Creates a client of one address with one connection.
 *
 * @example
 * const client = createHttpClient('10.128.0.9:8080', { connectTimeoutMs: 400, receiveSocket: opened => { socket = opened } })
 */
export function createHttpClient (address: string, { connectTimeoutMs = defaultConnectTimeoutMs, receiveSocket, ...options }: HttpClientOptions = {}): Client {
  const connectSocket = createConnector(connectTimeoutMs)
  return new Client(`http://${address}`, {
    ...options,
    connect: (connectOptions, callback) => {
      connectSocket(connectOptions, (...result) => {
        if (result[1]) receiveSocket?.(result[1])
        callback(...result)
      })
    }
  })
}
