/** Writes what was sent, answered and run to `record.txt` in the folder of a case. */
import { closeSync, openSync, writeSync } from 'node:fs'
import { join } from 'node:path'

export class Record {
  #file
  #startedAtMs = performance.now()

  constructor (directory) {
    this.#file = openSync(join(directory, 'record.txt'), 'w')
  }

  /** Seconds since the start. */
  get seconds () {
    return (performance.now() - this.#startedAtMs) / 1000
  }

  write (kind, text) {
    writeSync(this.#file, `${this.seconds.toFixed(3).padStart(8)} ${kind.padEnd(9)} ${text}\n`)
  }

  /** Writes a line to the record and to standard output. */
  print (text) {
    this.write('note', text)
    process.stdout.write(`${text}\n`)
  }

  close () {
    closeSync(this.#file)
  }
}
