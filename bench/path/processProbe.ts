/** Loaded into a process by `--import`: profiles it and measures its memory when its parent asks. */
import { writeFileSync } from 'node:fs'
import { Session } from 'node:inspector/promises'

/** What the parent asks; each question gets one answer. */
export type ProbeQuestion = { ask: 'memory' } | { ask: 'startProfile' } | { ask: 'writeProfile', file: string }

/** What a process keeps, in megabytes, after its garbage was collected. */
export interface KeptMemory {
  heapMegabytes: number
  /** Memory of buffers, outside the heap. */
  externalMegabytes: number
}

const bytesPerMegabyte = 1024 * 1024
const session = new Session()

async function handleQuestion (question: ProbeQuestion): Promise<KeptMemory | undefined> {
  if (question.ask === 'memory') return measureMemory()
  if (question.ask === 'startProfile') {
    await session.post('Profiler.enable')
    await session.post('Profiler.start')
  } else {
    const { profile } = await session.post('Profiler.stop')
    writeFileSync(question.file, JSON.stringify(profile))
  }
  return undefined
}

function measureMemory (): KeptMemory {
  globalThis.gc!()
  const { heapUsed, external } = process.memoryUsage()
  return { heapMegabytes: heapUsed / bytesPerMegabyte, externalMegabytes: external / bytesPerMegabyte }
}

session.connect()
process.on('message', async question => { process.send!(await handleQuestion(question as ProbeQuestion) ?? {}) })
// The process ends as it does without its parent.
process.channel!.unref()
