/** Puts a closed loop of streams on a gateway and measures what each process uses. */
import { join } from 'node:path'
import type { Pool } from 'undici'
import { callerHeaders, model } from './arrangement.js'
import { readProcessUse } from './childProcesses.js'
import type { BenchProcess, ProcessUse } from './childProcesses.js'
import { streamAnswer } from './streamClient.js'

const microsecondsPerSecond = 1_000_000

export interface LoadResult {
  seconds: number
  requests: number
  tokens: number
  failed: number
}

/** Runs a closed loop of streams for a time. */
export async function runLoad (gateway: Pool, streams: number, tokens: number, seconds: number): Promise<LoadResult> {
  const startedMs = performance.now()
  const endMs = startedMs + seconds * 1000
  const result: LoadResult = { seconds, requests: 0, tokens: 0, failed: 0 }
  const runStream = async (): Promise<void> => {
    while (performance.now() < endMs) {
      const answer = await streamAnswer(gateway, callerHeaders, model, tokens)
      result.requests++
      result.tokens += answer.tokens
      if (!answer.isWhole || answer.tokens !== tokens) result.failed++
    }
  }
  await Promise.all(Array.from({ length: streams }, runStream))
  result.seconds = (performance.now() - startedMs) / 1000
  return result
}

/** Runs a load and prints what each process used for it; with a folder, writes a profile of gateway and scheduler there. */
export async function measureLoad (
  processes: BenchProcess[], gateway: Pool, streams: number, tokens: number, seconds: number, profileFolder?: string
): Promise<LoadResult> {
  const measured = [...processes, { name: 'client', pid: process.pid }]
  const profiled = profileFolder === undefined ? [] : processes.filter(({ name }) => name !== 'standin')
  for (const { askProbe } of profiled) await askProbe({ ask: 'startProfile' })
  const before = measured.map(({ pid }) => readProcessUse(pid))
  const result = await runLoad(gateway, streams, tokens, seconds)
  const after = measured.map(({ pid }) => readProcessUse(pid))
  for (const { askProbe, name } of profiled) {
    await askProbe({ ask: 'writeProfile', file: join(profileFolder!, `${name}-${streams}x${tokens}.cpuprofile`) })
  }
  console.log(`${streams} streams of ${tokens} tokens for ${result.seconds.toFixed(1)} s: ` +
    `${(result.requests / result.seconds).toFixed(0)} requests/s, ${(result.tokens / result.seconds).toFixed(0)} tokens/s, ${result.failed} not whole`)
  measured.forEach(({ name }, index) => printUse(name, before[index]!, after[index]!, result))
  return result
}

function printUse (name: string, before: ProcessUse, after: ProcessUse, { requests, tokens, seconds }: LoadResult): void {
  const used = after.processorSeconds - before.processorSeconds
  console.log(`  ${name.padEnd(10)} ${(used / seconds).toFixed(2)} cores, ${(requests / used).toFixed(0)} requests/s and ` +
    `${(tokens / used).toFixed(0)} tokens/s for a core, ${(used / requests * microsecondsPerSecond).toFixed(1)} µs a request, ` +
    `${(used / tokens * microsecondsPerSecond).toFixed(2)} µs a token, ${after.residentMegabytes.toFixed(0)} MB`)
}
