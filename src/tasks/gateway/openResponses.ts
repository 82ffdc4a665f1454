/** Reports the end of a connection to every response that is open on it. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Node.js reports the end of a connection to the response in its turn alone. Those to requests behind it have no socket yet; they get
 * their `close` from here, so that what ends with it ends for them too.
 */
export class OpenResponses {
  #responses = new WeakMap<Socket, Set<ServerResponse>>()

  /** Watches a response until its `close`. */
  add (socket: Socket, response: ServerResponse): void {
    const responses = this.#responses.get(socket) ?? this.#watch(socket)
    responses.add(response)
    response.once('close', () => responses.delete(response))
  }

  #watch (socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>()
    this.#responses.set(socket, responses)
    socket.once('close', () => {
      for (const response of [...responses]) if (!response.socket) response.emit('close')
    })
    return responses
  }
}
