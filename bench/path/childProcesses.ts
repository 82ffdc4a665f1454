/** Starts the binaries as processes of their own and reads what they cost. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { KeptMemory, ProbeQuestion } from './processProbe.js'

const binFolder = fileURLToPath(new URL('../../src/bin/', import.meta.url))
const startTimeoutMs = 30_000
/** Linux counts processor time in hundredths of a second. */
const ticksPerSecond = 100
const probeOptions = ['--expose-gc', '--import', new URL('processProbe.js', import.meta.url).href]

export interface BenchProcess {
  name: string
  pid: number
  /** The line of the log that showed that the process runs. */
  line: RegExpExecArray
  /** Asks a process that was started with the probe. */
  askProbe: (question: ProbeQuestion) => Promise<KeptMemory>
  /** Ends it gracefully. */
  stop: () => Promise<void>
  /** Ends it at once. */
  kill: () => Promise<void>
}

/** What a process has used since it started. */
export interface ProcessUse {
  processorSeconds: number
  residentMegabytes: number
}

/** Starts `sedgevalve-<binary>` with settings, and with the probe where asked, and waits for a line of its log. */
export async function startBinary (
  binary: string, settings: string, readyPattern: RegExp, isProbed = false
): Promise<BenchProcess> {
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-bench-')), `${binary}.ini`)
  writeFileSync(file, settings)
  const child = spawn(process.execPath, [...isProbed ? probeOptions : [], join(binFolder, `${binary}.js`), file], {
    stdio: ['ignore', 'ignore', 'pipe', ...isProbed ? ['ipc' as const] : []]
  })
  const line = await waitForLine(child, readyPattern)
  return {
    name: binary,
    pid: child.pid!,
    line,
    askProbe: async question => await askProbe(child, question),
    stop: async () => await endProcess(child, 'SIGTERM'),
    kill: async () => await endProcess(child, 'SIGKILL')
  }
}

async function askProbe (child: ChildProcess, question: ProbeQuestion): Promise<KeptMemory> {
  const answer = new Promise<KeptMemory>(resolve => child.once('message', message => resolve(message as KeptMemory)))
  child.send(question)
  return await answer
}

async function endProcess (child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const ended = new Promise<void>(resolve => child.once('exit', () => resolve()))
  child.kill(signal)
  await ended
}

async function waitForLine (child: ChildProcess, pattern: RegExp): Promise<RegExpExecArray> {
  let seen = ''
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`the process did not start: ${seen}`)), startTimeoutMs)
    child.once('exit', () => reject(new Error(`the process ended: ${seen}`)))
    child.stderr!.on('data', (bytes: Buffer) => {
      seen = (seen + bytes.toString()).slice(-4000)
      const line = pattern.exec(seen)
      if (!line) return
      clearTimeout(timer)
      resolve(line)
    })
  })
}

/** Reads what a process has used since it started. */
export function readProcessUse (pid: number): ProcessUse {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    processorSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
    residentMegabytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
  }
}
