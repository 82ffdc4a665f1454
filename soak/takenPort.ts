/** Holds a port of a host, as a process that still ends or a connection for which the system drew it. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'
import { createSystemClock } from '../src/adapters/clock/systemClock.js'
import { listenOn, openPort } from '../src/adapters/tcp/openPort.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'

/** The process that had the port has ended by then. */
const maxPortWaitMs = 5000
const clock = createSystemClock()

/**
 * Takes one of a host's ports, which `size` from 0 to 1 picks; the function that it resolves with frees it.
 *
 * @example
 * const free = await holdPort(host.settings, 0.3)
 */
export async function holdPort ({ address, callersAddress, readinessAddress, peersAddress, datagramPort }: HostSettings, size: number): Promise<() => void> {
  const messagesAddress = `${address}:${datagramPort}`
  const addresses = [callersAddress, readinessAddress, peersAddress, messagesAddress, undefined]
  const held = addresses[Math.floor(size * addresses.length)]
  const hold = async (): Promise<() => void> => held === undefined ? await holdDatagrams(datagramPort, address) : await holdConnections(held)
  return await openPort(hold, { name: 'held', address: held ?? messagesAddress, clock, log: { record: () => {} }, signal: new AbortController().signal, maxWaitMs: maxPortWaitMs })
}

async function holdConnections (address: string): Promise<() => void> {
  const server = createServer(socket => socket.on('error', () => {}).destroy())
  await listenOn(server, address)
  return () => { server.close() }
}

async function holdDatagrams (port: number, address: string): Promise<() => void> {
  const socket = createSocket('udp4')
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, address, resolve)
  })
  return () => { socket.close() }
}
