/** One host as a process of its own, which the soak starts, pauses and ends. */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync } from 'node:fs'
import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { metricsPath } from '../src/tasks/hostMetrics/metricsServer.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'
import type { HostCommand, SoakHostStart } from './soakHost.js'
import type { ProcessEnd } from './soakRecord.js'

export interface HostProcessOptions {
  settings: HostSettings
  metricsPort: number
  without: string | undefined
  /** Directory for the host's lines. */
  logs: string
  receiveEnd: (end: ProcessEnd) => void
}

const program = fileURLToPath(new URL('./soakHost.js', import.meta.url))
/** As in `deploy/system.toml`. */
const nodeOptions = ['--max-old-space-size=160', '--max-semi-space-size=4']
const bytesInKb = 1024
/** Given to a process beyond its time for a graceful stop, so that a late one is seen as late. */
const killSlackMs = 2000
const metricsTimeoutMs = 2000
const heldBytesPattern = /^sedgevalve_held_body_bytes (\d+)$/m

export class HostProcess {
  readonly settings: HostSettings
  #options: HostProcessOptions
  #child: ChildProcess | undefined
  #ended: Promise<void> = Promise.resolve()
  #asked: ProcessEnd['asked'] = 'nothing'
  #askedAtMs = 0
  #life = 0
  /** Whether the process has said that it handles signals. */
  #hasHandlers = false

  constructor (options: HostProcessOptions) {
    this.#options = options
    this.settings = options.settings
  }

  get isRunning (): boolean {
    return this.#child !== undefined
  }

  /** Counts the starts of the process. */
  get life (): number {
    return this.#life
  }

  /** Starts the process once the one before has ended. */
  async start (): Promise<void> {
    await this.#ended
    if (this.#child) return
    const { settings, metricsPort, without, logs } = this.#options
    const start: SoakHostStart = { settings, metricsPort, without }
    const path = join(logs, `${settings.hostName}.log`)
    const output = openSync(path, 'a')
    this.#life++
    this.#asked = 'nothing'
    this.#hasHandlers = false
    const child = fork(program, [JSON.stringify(start)], { execArgv: nodeOptions, stdio: ['ignore', output, output, 'ipc'] })
    closeSync(output)
    this.#child = child
    child.once('message', () => { this.#hasHandlers = true })
    this.#ended = new Promise(resolve => child.once('exit', (code, signal) => {
      this.#child = undefined
      this.#options.receiveEnd({
        host: settings.hostName, at: new Date().toISOString(), lastLine: readLastLine(path), code: code ?? undefined, signal: signal ?? undefined, asked: this.#asked, tookMs: performance.now() - this.#askedAtMs
      })
      resolve()
    }))
  }

  pause (): void {
    this.#child?.kill('SIGSTOP')
  }

  resume (): void {
    this.#child?.kill('SIGCONT')
  }

  /** Reports a change of the settings file. While Node.js itself starts, nothing can keep the signal from ending the process. */
  reload (): void {
    if (this.#hasHandlers) this.#child?.kill('SIGHUP')
  }

  advanceClock (jumpMs: number): void {
    const command: HostCommand = { jumpMs }
    if (this.#child?.connected) this.#child.send(command, () => {})
  }

  /** Resolves when the process has ended. A stop that does not end it in time ends in a kill. */
  async end (asked: 'kill' | 'stop'): Promise<void> {
    const child = this.#child
    if (!child) return
    if (this.#asked === 'nothing') this.#askedAtMs = performance.now()
    this.#asked = asked
    child.kill(asked === 'kill' ? 'SIGKILL' : 'SIGTERM')
    const timer = setTimeout(() => child.kill('SIGKILL'), this.settings.shutdownMs + killSlackMs)
    await this.#ended
    clearTimeout(timer)
  }

  /** Bytes of request bodies that the host holds; undefined where it does not tell. */
  async readHeldBytes (): Promise<number | undefined> {
    const { settings, metricsPort } = this.#options
    try {
      const response = await fetch(`http://${settings.address}:${metricsPort}${metricsPath}`, { signal: AbortSignal.timeout(metricsTimeoutMs) })
      const [, bytes] = heldBytesPattern.exec(await response.text()) ?? []
      return bytes === undefined ? undefined : Number(bytes)
    } catch {
      // A host whose metrics cannot be read breaks the promise that is held against them.
      return undefined
    }
  }

  /** Memory in MB and open descriptors; undefined where the process is gone. */
  async readUse (): Promise<{ memoryMb: number, descriptors: number } | undefined> {
    const pid = this.#child?.pid
    if (pid === undefined) return undefined
    try {
      const [status, descriptors] = await Promise.all([readFile(`/proc/${pid}/status`, 'utf8'), readdir(`/proc/${pid}/fd`)])
      const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
      return { memoryMb: kilobytes / bytesInKb, descriptors: descriptors.length }
    } catch {
      // The process ended between the two.
      return undefined
    }
  }
}

function readLastLine (path: string): string {
  // Node.js writes its version behind an error that ends the process.
  return readFileSync(path, 'utf8').split('\n').findLast(line => line !== '' && !line.startsWith('Node.js v')) ?? ''
}
