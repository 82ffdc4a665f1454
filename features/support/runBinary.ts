/** Runs a binary to its end and reads what it printed. */
import { execFile, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const binFolder = fileURLToPath(new URL('../../src/bin/', import.meta.url))
const limitMs = 45_000

export interface BinaryResult {
  code: number
  output: string
  errors: string
}

/**
 * Runs `sedgevalve-<binary>` and waits for its end.
 *
 * @example
 * const { code, errors } = await runBinaryToEnd('gateway', ['missing.ini'])
 */
export async function runBinaryToEnd (binary: string, args: string[]): Promise<BinaryResult> {
  return await new Promise(resolve => {
    execFile(process.execPath, [join(binFolder, `${binary}.js`), ...args], { timeout: limitMs }, (error, output, errors) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : error ? -1 : 0, output, errors })
    })
  })
}

/** Writes settings to a file of a new folder and returns its path. */
export function writeSettings (text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'settings.ini')
  writeFileSync(file, text)
  return file
}

export interface BinaryProcess {
  process: ChildProcess
  output: string
  errors: string
  /** Ends the process with SIGTERM and waits for it. */
  stop: () => Promise<void>
}

/** Starts a binary that runs on; `prelude` is what a shell does before it becomes the binary. */
export function startBinary (binary: string, environment: Record<string, string>, args: readonly string[] = [], prelude = ''): BinaryProcess {
  return startProgram(join(binFolder, `${binary}.js`), environment, args, prelude)
}

/** Starts a program that runs on; `file` is the path of its first module. */
export function startProgram (file: string, environment: Record<string, string>, args: readonly string[] = [], prelude = ''): BinaryProcess {
  const command = [process.execPath, file, ...args]
  const [program, ...values] = prelude === '' ? command : ['bash', '-c', `${prelude}; exec "$0" "$@"`, ...command]
  const child = spawn(program!, values, { env: { ...process.env, ...environment } })
  const ended = new Promise<void>(resolve => child.on('exit', () => resolve()))
  const running: BinaryProcess = {
    process: child,
    output: '',
    errors: '',
    stop: async () => {
      child.kill('SIGTERM')
      await ended
    }
  }
  child.stdout.on('data', part => { running.output += String(part) })
  child.stderr.on('data', part => { running.errors += String(part) })
  return running
}
