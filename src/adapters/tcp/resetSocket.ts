/** Closes a connection so that nothing more of what was written to it is delivered. */
import type { Socket } from 'node:net'

/**
 * Resets a connection. An orderly close would leave what has not been delivered to the kernel, which goes on sending it while the
 * path hangs.
 *
 * @example
 * resetSocket(socket) // the peer gets ECONNRESET, and nothing of what it has not received yet
 */
export function resetSocket (socket: Socket): void {
  if (socket.destroyed) return
  const isWriting = socket.writableLength > 0
  socket.resetAndDestroy()
  // `resetAndDestroy` alone waits until everything is written.
  if (isWriting) socket.destroy()
}
