/** Runs the operators' client in this process and keeps what it writes. */
import { exampleOperatorKey } from '../../src/bin/exampleRecords.js'
import { runClient } from '../../src/ctl/runClient.js'
import type { SystemWorld } from './world.js'

export class ClientRun {
  printed: string[] = []
  notes: string[] = []
  code: number | undefined
  readonly abort = new AbortController()
  #files: Map<string, string>

  constructor (files: Map<string, string>) {
    this.#files = files
  }

  /** Runs the client with these words as its command line; quotes are not interpreted. */
  async run (world: SystemWorld, words: string[], key = exampleOperatorKey, gateway = 1): Promise<void> {
    const port = world.playground!.gateways[gateway - 1]!.operatorsPort
    this.code = await runClient(words, {
      environment: { SEDGEVALVE_OPERATOR_KEY: key, SEDGEVALVE_ADDRESS: `127.0.0.1:${port}` },
      signal: this.abort.signal,
      print: line => this.printed.push(line),
      printNote: line => this.notes.push(line),
      readFile: path => this.#files.get(path) ?? ''
    })
  }

  get output (): string {
    return this.printed.join('\n')
  }

  get noteText (): string {
    return this.notes.join('\n')
  }
}
