/** Where log lines go: standard output, whose reader may be slow, stand still or be gone. */
import { write, writeSync } from 'node:fs'
import { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { promisify } from 'node:util'

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
/** Lines of this time go out together, as each write costs a small host more than the line itself. */
const gatherMs = 50
/** Interval of attempts to write to a device that takes nothing for now. */
const retryMs = 100
const descriptor = 1
const writeBytes = promisify(write)

/**
 * Opens standard output. Neither a write nor the end of the process waits for a reader that stands still.
 *
 * @example
 * const output = openLineOutput()
 * output.write('{"kind":"host.started"}\n')
 */
export function openLineOutput (): LineOutput {
  return process.stdout instanceof Socket && !process.stdout.isTTY ? new SocketLineOutput(process.stdout) : new FileLineOutput()
}

/** A pipe or socket. Its writes do not block, unlike those of a descriptor in a thread, which the end of the process would wait for. */
class SocketLineOutput implements LineOutput {
  #socket: Socket
  /** Lines that wait for those that follow shortly. */
  #lines: string[] = []
  #length = 0
  #dropped = 0
  #isGone = false

  constructor (socket: Socket) {
    this.#socket = socket
    // A host serves on without a reader of its lines.
    socket.on('error', () => { this.#isGone = true })
    process.once('exit', () => this.#writeLines())
  }

  write (line: string): void {
    if (this.#isGone || this.#socket.writableLength + this.#length + line.length > maxBufferedBytes) {
      this.#dropped++
      return
    }
    if (this.#lines.length === 0) setTimeout(() => this.#writeLines(), gatherMs).unref()
    this.#lines.push(line)
    this.#length += line.length
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
    this.#length = 0
    if (lines.length > 0 && !this.#isGone) this.#socket.write(lines.join(''))
  }
}

/** A file, device or terminal. A line that cannot be written, as the disk is full, is dropped: pino's own output waits for it without an end. */
class FileLineOutput implements LineOutput {
  #lines: string[] = []
  #length = 0
  #dropped = 0
  #writing: Promise<void> | undefined

  constructor () {
    process.once('exit', () => this.#writeLast())
  }

  write (line: string): void {
    if (this.#length + line.length > maxBufferedBytes) {
      this.#dropped++
      return
    }
    this.#lines.push(line)
    this.#length += line.length
    this.#writing ??= this.#writeLines()
  }

  collectDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  async flush (): Promise<void> {
    if (this.#writing) await Promise.race([this.#writing, sleep(flushMs)])
  }

  async #writeLines (): Promise<void> {
    await sleep(gatherMs, undefined, { ref: false })
    while (this.#lines.length > 0) {
      const lines = this.#takeLines()
      await writeAll(Buffer.from(lines.join(''))).catch(() => { this.#dropped += lines.length })
    }
    this.#writing = undefined
  }

  #writeLast (): void {
    try {
      writeSync(descriptor, this.#takeLines().join(''))
    } catch {
      // Nobody is left who could be told.
    }
  }

  #takeLines (): string[] {
    this.#length = 0
    return this.#lines.splice(0)
  }
}

async function writeAll (bytes: Buffer): Promise<void> {
  for (let written = 0; written < bytes.length;) {
    try {
      written += (await writeBytes(descriptor, bytes, written)).bytesWritten
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
      await sleep(retryMs)
    }
  }
}
