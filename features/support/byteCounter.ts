/** A loopback proxy that counts what it passes on. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface ByteCounter {
  readonly address: string
  /** Bytes that came from the server behind. */
  readonly bytes: number
  stop: () => Promise<void>
}

export async function startByteCounter (target: string): Promise<ByteCounter> {
  const [host, port] = target.split(':')
  const sockets = new Set<Socket>()
  let bytes = 0
  const server = createServer(near => {
    const far = connect(Number(port), host)
    for (const socket of [near, far]) {
      sockets.add(socket)
      // Either end may leave first; the test judges by what arrived.
      socket.on('error', () => socket.destroy())
    }
    far.on('data', (data: Buffer) => { bytes += data.length })
    near.pipe(far).pipe(near)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    get bytes () { return bytes },
    stop: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
