/** Where log lines go: standard output, whose reader may be slow, stand still or be gone. */
import { Socket } from 'node:net'
import { pino } from 'pino'

/** Receives whole lines, as pino writes them. */
export interface LineOutput {
  write: (line: string) => void
  /** Returns how many lines were dropped since the last call. */
  collectDropped: () => number
  /** Resolves when all lines have been written, or cannot be written for now. */
  flush: () => Promise<void>
}

/** Bytes buffered for a slow reader. Lines beyond that are dropped and counted. */
const maxBufferedBytes = 1024 * 1024
/** A process that ends waits no longer for a reader of its last lines. */
const flushMs = 200

/**
 * Opens standard output. Neither a write nor the end of the process waits for a reader that stands still.
 *
 * @example
 * const output = openLineOutput()
 * output.write('{"kind":"host.started"}\n')
 */
export function openLineOutput (): LineOutput {
  return process.stdout instanceof Socket && !process.stdout.isTTY ? new SocketLineOutput(process.stdout) : openFileLineOutput()
}

/** A pipe or socket. Its writes do not block, unlike those of a descriptor in a thread, which the end of the process would wait for. */
class SocketLineOutput implements LineOutput {
  #socket: Socket
  /** Lines that were written in this turn of the event loop. */
  #lines: string[] = []
  #dropped = 0
  #isGone = false

  constructor (socket: Socket) {
    this.#socket = socket
    // A host serves on without a reader of its lines.
    socket.on('error', () => { this.#isGone = true })
  }

  write (line: string): void {
    if (this.#isGone || this.#socket.writableLength + line.length > maxBufferedBytes) {
      this.#dropped++
      return
    }
    if (this.#lines.length === 0) setImmediate(() => this.#writeLines())
    this.#lines.push(line)
  }

  collectDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  async flush (): Promise<void> {
    this.#writeLines()
    if (this.#isGone || this.#socket.writableLength === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, flushMs)
      this.#socket.write('', () => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  #writeLines (): void {
    const lines = this.#lines.splice(0)
    if (lines.length > 0 && !this.#isGone) this.#socket.write(lines.join(''))
  }
}

/** A file, device or terminal. */
function openFileLineOutput (): LineOutput {
  const destination = pino.destination({ dest: 1, sync: false, minLength: 0, maxLength: maxBufferedBytes })
  let dropped = 0
  destination.on('drop', () => { dropped++ })
  return {
    write: line => { destination.write(line) },
    collectDropped: () => {
      const collected = dropped
      dropped = 0
      return collected
    },
    flush: async () => destination.flushSync()
  }
}
