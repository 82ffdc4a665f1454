/** Records of soaks that never ran, each with one thing that went wrong. */
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { RunRecord } from '../../src/standin/fleet/runJournal.js'
import { createSoakRecord } from '../../soak/soakRecord.js'
import type { SlowOutcome, SlowRequest } from '../../soak/slowCaller.js'
import type { LongFramingName } from '../../src/standin/fleet/longAnswer.js'
import type { SoakCall, SoakRecord } from '../../soak/soakRecord.js'

const engineId = 'i-1'
const host = 'host-1'
/** What every end of a process has. */
const ended = { host, at: '2026-12-07T00:00:00.000Z', lastLine: 'a line' }

interface MadeCall {
  id: string
  atMs: number
  answer?: Partial<FleetAnswer>
  call?: Partial<SoakCall>
  /** Times from its start at which endpoints ran it. */
  runs?: number[]
  run?: Partial<RunRecord>
}

/** A record of calls of a service, each answered whole after 20 ms where not said otherwise. */
class RecordMaker {
  readonly record = createSoakRecord({
    timeoutMs: 4000, patienceMs: 3200, drainMs: 1000, configurationMs: 2000, versionMs: 5000, shutdownMs: 8000, retryShare: 0.2, retryExtra: 20, retryWindowMs: 10_000, memoryMb: 250, maxDescriptors: 2000
  }, [])

  addCall ({ id, atMs, answer, call, runs = [5], run }: MadeCall): void {
    const tookMs = answer?.tookMs ?? 20
    this.record.calls.push({
      answer: { requestId: id, kind: 'once', status: 200, body: `done ${id}`, signature: 'signed', retryAfterS: undefined, error: undefined, tookMs, ...answer },
      host,
      life: 1,
      adapter: undefined,
      startedAtMs: atMs,
      turnAtMs: atMs,
      endedAtMs: atMs + tookMs,
      purpose: 'load',
      ...call
    })
    for (const afterMs of runs) this.addRun(id, atMs + afterMs, run)
  }

  addRun (requestId: string, startedAtMs: number, changes: Partial<RunRecord> = {}): void {
    const runs = this.record.runs as RunRecord[]
    runs.push({
      requestId, endpointId: engineId, service: 'desk', path: '/once/x', startedAtMs, endedAtMs: startedAtMs + 10, outcome: 'whole', timeLeftMs: 4000, fromEvent: 0, adapterVersion: undefined, ...changes
    })
  }

  addProbe (version: number, status: number, askedAtMs: number): void {
    this.record.probes.push({ host, life: 1, version, status, askedAtMs, endedAtMs: askedAtMs + 5 })
  }
}

function loseKept (maker: RecordMaker, count: number): void {
  for (let index = 0; index < count; index++) maker.addCall({ id: `kept ${index}`, atMs: 100 + index, answer: { status: 0, error: 'other side closed', body: '' } })
}

/** A call for a long answer of which one thing is not as usual; usually it is sound, framed by chunks, and arrives whole. */
function addSlow (maker: RecordMaker, changes: Partial<SlowOutcome>, request: Partial<SlowRequest> = {}, framing: LongFramingName = 'closeChunks'): void {
  const answer = { framing, status: 200, pieces: 100, end: '', trickles: false } as const
  const slow: SlowOutcome = { request: { kind: 'once', leaver: 'nobody', reading: 'slowly', answer, ...request }, received: 'whole', bytes: 1000, isComplete: true, ...changes }
  maker.addCall({ id: 'slow', atMs: 100, answer: { body: '', tookMs: 2000 }, call: { purpose: 'slow', slow } })
}

const fillers: Record<string, (maker: RecordMaker) => void> = {
  'nothing went wrong': maker => {
    maker.record.configurations.push({ version: 1, atMs: 1000 })
    maker.addProbe(1, 200, 3600)
    maker.record.heldBytes.push({ host, bytes: 0 })
    maker.record.ends.push({ ...ended, code: 0, signal: undefined, asked: 'stop', tookMs: 3000 }, { ...ended, code: undefined, signal: 'SIGKILL', asked: 'kill', tookMs: 2 })
  },
  'an engine was told to load beyond its slots': ({ record }) => record.violations.push({ rule: 'overfull', detail: 'load of "a1"' }),
  'an engine got an order from a former holder': ({ record }) => record.violations.push({ rule: 'fencing', detail: '"host-1" ordered with 3 after 5' }),
  'half an answer looks whole': maker => maker.addCall({ id: 'half', atMs: 100, answer: { body: 'done ha' } }),
  'a stream skips an event': maker => maker.addCall({ id: 'skips', atMs: 100, answer: { kind: 'stream', body: 'id: 1\ndata: 1\n\nid: 3\ndata: 3\n\n' } }),
  'a request that may run once ran twice': maker => maker.addCall({ id: 'twice', atMs: 100, runs: [5, 300] }),
  'a refused request ran': maker => maker.addCall({ id: 'refused', atMs: 100, answer: { status: 503, retryAfterS: 1, body: '' }, runs: [900] }),
  'an endpoint ran what nobody sent': maker => maker.addRun('invented', 100),
  'a caller waited beyond the time of the route': maker => maker.addCall({ id: 'late', atMs: 100, answer: { tookMs: 5600, status: 504 } }),
  'a stop cut a request off': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 })
    maker.addCall({ id: 'cut', atMs: 500, answer: { status: 0, error: 'other side closed', tookMs: 600 } })
  },
  'a stop cut off a request behind another one': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'pipelined' }, runs: [50] })
  },
  'a reload cut off a request that had been read': maker => {
    maker.record.spans.push({ kind: 'hostReloads', host, fromMs: 1000, toMs: 4000 })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 250 }, call: { purpose: 'pipelined' }, runs: [] })
  },
  'a request behind another one waited too long in its turn': maker => maker.addCall({ id: 'behind', atMs: 100, answer: { tookMs: 9000, status: 504 }, call: { purpose: 'pipelined', turnAtMs: 3500 } }),
  'a request behind another one waited for it': maker => maker.addCall({ id: 'behind', atMs: 100, answer: { tookMs: 7000 }, call: { purpose: 'pipelined', turnAtMs: 4000 } }),
  'the time of a stream was up, with a request behind it': maker => {
    maker.addCall({ id: 'stream', atMs: 100, answer: { kind: 'stream', error: 'closed', body: 'id: 1\ndata: 1\n\n', tookMs: 4100 }, call: { purpose: 'pipelined' } })
    maker.addCall({ id: 'behind', atMs: 100, answer: { status: 0, error: 'closed', tookMs: 3900 }, call: { purpose: 'pipelined', cutBy: 'stream' }, runs: [] })
  },
  'a cut request had another one behind it that ran': maker => {
    maker.addCall({ id: 'stream', atMs: 100, answer: { kind: 'stream', error: 'closed', body: 'id: 1\ndata: 1\n\n', tookMs: 4100 }, call: { purpose: 'pipelined' } })
    maker.addCall({ id: 'behind', atMs: 100, answer: { status: 0, error: 'closed', tookMs: 3900 }, call: { purpose: 'pipelined', cutBy: 'stream' } })
  },
  'a request crossed the end of its connection': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 })
    maker.addCall({ id: 'crossing', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 190 }, call: { purpose: 'pipelined' }, runs: [] })
  },
  'a stop took too long': ({ record }) => record.ends.push({ ...ended, code: undefined, signal: 'SIGKILL', asked: 'stop', tookMs: 10_000 }),
  'an endpoint that left got work': maker => {
    maker.record.leaving.push({ endpointId: engineId, atMs: 1000 })
    maker.addCall({ id: 'drained', atMs: 2700 })
  },
  'a host did not take a configuration over': maker => {
    maker.record.configurations.push({ version: 1, atMs: 1000 })
    maker.addProbe(1, 404, 3600)
  },
  'a host forgot a configuration': maker => {
    maker.record.configurations.push({ version: 1, atMs: 1000 })
    maker.record.spans.push({ kind: 'storeBusy', host: undefined, fromMs: 1000, toMs: 9000 })
    maker.addProbe(1, 200, 2000)
    maker.addProbe(1, 404, 2500)
  },
  'an old version of an adapter ran': maker => {
    maker.record.versions.push({ adapter: 'a1', version: 2, atMs: 1000 })
    maker.addCall({ id: 'old', atMs: 6100, call: { adapter: 'a1' }, run: { adapterVersion: 1 } })
  },
  'hosts repeated without a bound': maker => {
    for (let index = 0; index < 60; index++) maker.addCall({ id: `repeated ${index}`, atMs: index * 100, answer: { kind: 'idempotent' }, runs: [5, 50] })
  },
  'a request went on crashing engines': maker => {
    for (let index = 0; index < 14; index++) maker.addCall({ id: `crash ${index}`, atMs: index * 500, answer: { kind: 'resumable', status: 502, body: '' }, call: { purpose: 'crashing' } })
  },
  'a host did not serve after the faults': maker => maker.addCall({ id: 'calm', atMs: 30_000, answer: { status: 503, retryAfterS: 1, body: '' }, runs: [], call: { purpose: 'calm' } }),
  'an endpoint was told another account': maker => maker.addCall({ id: 'misled', atMs: 100, call: { account: 'harbor' }, run: { account: 'quarry' } }),
  'an endpoint got a key': maker => maker.addCall({ id: 'leaked', atMs: 100, call: { account: 'harbor' }, run: { account: 'harbor', hasCredentials: true } }),
  'a request with an unknown key ran': maker => maker.addCall({ id: 'unknown', atMs: 100, call: { account: '' } }),
  'a known key was refused': maker => maker.addCall({ id: 'known', atMs: 100, answer: { status: 401, body: '' }, call: { account: 'harbor' }, runs: [] }),
  'a public route got an account': maker => {
    maker.record.probeIds.add('public')
    maker.addRun('public', 100, { account: 'harbor' })
  },
  'a host ended by itself': ({ record }) => record.ends.push({ ...ended, code: 1, signal: undefined, asked: 'nothing', tookMs: 0 }),
  'a caller that had ended its side got no answer to a request that ran': maker => maker.addCall({ id: 'half', atMs: 100, answer: { status: 0, error: 'closed', tookMs: 300 }, call: { purpose: 'halfClosed' } }),
  'a reload cut off a caller that had ended its side': maker => {
    maker.record.spans.push({ kind: 'hostReloads', host, fromMs: 200, toMs: 4000 })
    maker.addCall({ id: 'half', atMs: 100, answer: { status: 0, error: 'closed', tookMs: 300 }, call: { purpose: 'halfClosed' } })
  },
  'a stop cut off a request behind a stream that had been announced as the last': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 })
    maker.addCall({ id: 'stream', atMs: 900, answer: { kind: 'stream', body: 'id: 1\ndata: 1\n\n', tookMs: 700 }, call: { purpose: 'pipelined' } })
    maker.addCall({ id: 'behind', atMs: 1300, answer: { status: 0, error: 'closed', tookMs: 300 }, call: { purpose: 'behindStream' }, runs: [] })
  },
  'an endpoint broke off a stream with a request behind it': maker => {
    maker.addCall({ id: 'stream', atMs: 900, answer: { kind: 'stream', error: 'closed', body: 'id: 1\ndata: 1\n\n', tookMs: 700 }, run: { outcome: 'broken' } })
    maker.addCall({ id: 'behind', atMs: 1300, answer: { status: 0, error: 'closed', tookMs: 300 }, call: { purpose: 'behindStream', cutBy: 'stream' }, runs: [] })
  },
  'a stop cut a request of a service off while the store was away': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 }, { kind: 'storeBusy', host: undefined, fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'cut', atMs: 500, answer: { status: 0, error: 'other side closed', tookMs: 600 } })
  },
  'a stop cut a stream off while the store was away': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 }, { kind: 'storeBusy', host: undefined, fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'cut', atMs: 500, answer: { kind: 'stream', body: 'id: 1\ndata: 1\n\n', error: 'other side closed', tookMs: 600 } })
  },
  'a stop cut a request off while another host was killed': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 }, { kind: 'hostKill', host: 'host-2', fromMs: 0, toMs: 4000 }, { kind: 'storeLinkSilent', host: 'host-2', fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'cut', atMs: 500, answer: { kind: 'stream', body: 'id: 1\ndata: 1\n\n', error: 'other side closed', tookMs: 600 } })
  },
  'a stop cut a request off on a host that was paused': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 1000, toMs: 4000 }, { kind: 'hostPause', host, fromMs: 0, toMs: 400 })
    maker.addCall({ id: 'cut', atMs: 500, answer: { status: 0, error: 'other side closed', tookMs: 600 } })
  },
  'a request was cut off while another endpoint was dark': maker => {
    maker.record.spans.push({ kind: 'endpointDark', host: undefined, endpointId: 'i-2', fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'pipelined' } })
    maker.addCall({ id: 'half', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'halfClosed' } })
  },
  'a request was cut at an endpoint that was dark': maker => {
    maker.record.spans.push({ kind: 'endpointDark', host: undefined, endpointId: engineId, fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'pipelined' } })
  },
  'a stream broke off at an endpoint that was dark, with a request behind it': maker => {
    maker.record.spans.push({ kind: 'endpointDark', host: undefined, endpointId: engineId, fromMs: 0, toMs: 4000 })
    maker.addCall({ id: 'stream', atMs: 900, answer: { kind: 'stream', error: 'closed', body: 'id: 1\ndata: 1\n\n', tookMs: 700 }, call: { purpose: 'pipelined' } })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 500 }, call: { purpose: 'behindStream', cutBy: 'stream' }, runs: [] })
  },
  'a crashing request ended another engine': maker => {
    maker.record.spans.push({ kind: 'crashingRequest', host: undefined, fromMs: 0, toMs: 8000 })
    maker.addCall({ id: 'crash', atMs: 1000, answer: { status: 502, body: '' }, call: { purpose: 'crashing' }, run: { endpointId: 'i-2', outcome: 'broken' } })
    maker.addCall({ id: 'behind', atMs: 1100, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'pipelined' } })
  },
  'a crashing request ended the engine of a cut request': maker => {
    maker.record.spans.push({ kind: 'crashingRequest', host: undefined, fromMs: 0, toMs: 8000 })
    maker.addCall({ id: 'crash', atMs: 1000, answer: { status: 502, body: '' }, call: { purpose: 'crashing' }, run: { outcome: 'broken' } })
    maker.addCall({ id: 'behind', atMs: 990, answer: { status: 0, error: 'closed', tookMs: 100 }, call: { purpose: 'pipelined' } })
  },
  'a host closed four kept connections with requests at sound endpoints': maker => loseKept(maker, 4),
  'a host closed three kept connections with requests at sound endpoints': maker => loseKept(maker, 3),
  'a host closed four kept connections while the store was away': maker => {
    maker.record.spans.push({ kind: 'storeBusy', host: undefined, fromMs: 0, toMs: 400 })
    loseKept(maker, 4)
  },
  'a host closed four kept connections with requests at an endpoint whose link was cut': maker => {
    maker.record.spans.push({ kind: 'endpointLinkReset', host: undefined, endpointId: engineId, fromMs: 0, toMs: 400 })
    loseKept(maker, 4)
  },
  'a request with a body over the limit ran': maker => maker.addCall({ id: 'large', atMs: 100, answer: { status: 413, body: '' }, call: { purpose: 'overLimit' } }),
  'a host held bytes of bodies in the end': ({ record }) => record.heldBytes.push({ host: 'host-2', bytes: 0 }, { host, bytes: 20 }),
  'a host did not tell what it held': ({ record }) => record.heldBytes.push({ host, bytes: undefined }),
  'a caller that had ended its side got no answer, and its request had not run': maker => maker.addCall({ id: 'half', atMs: 100, answer: { status: 0, error: 'closed', tookMs: 300 }, call: { purpose: 'halfClosed' }, runs: [] }),
  'a host that was to be killed had ended with code 1': ({ record }) => record.ends.push({ ...ended, code: 1, signal: undefined, asked: 'kill', tookMs: 1 }),
  'a host that stopped ended with code 1': ({ record }) => record.ends.push({ ...ended, code: 1, signal: undefined, asked: 'stop', tookMs: 100 }),
  'a slow caller got other bytes': maker => addSlow(maker, { received: 'wrong' }),
  'a long answer that its endpoint cut looks whole': maker => addSlow(maker, { received: 'part' }, { leaver: 'endpointEnds' }),
  'an unframed answer that its endpoint reset looks whole': maker => addSlow(maker, { received: 'part' }, { leaver: 'endpointResets' }, 'end'),
  'a slow caller got a part of a sound answer': maker => addSlow(maker, { received: 'part', isComplete: false }),
  'a stop cut a slow caller off': maker => {
    maker.record.spans.push({ kind: 'hostStop', host, fromMs: 500, toMs: 4000 })
    addSlow(maker, { received: 'part', isComplete: false })
  },
  'an endpoint ended an unframed answer in order': maker => addSlow(maker, { received: 'part' }, { leaver: 'endpointEnds' }, 'end'),
  'a long answer broke off with its endpoint': maker => addSlow(maker, { received: 'part', isComplete: false }, { leaver: 'endpointResets' }),
  'a slow caller got a long answer whole': maker => addSlow(maker, {}),
  'a host took too much memory': ({ record }) => { record.peakMemoryMb = 251 },
  'a caller waited for a host that stood still': maker => {
    maker.record.spans.push({ kind: 'hostPause', host, fromMs: 200, toMs: 5500 })
    maker.addCall({ id: 'late', atMs: 100, answer: { tookMs: 5600, status: 504 } })
  },
  'a host cut off from the store knew no new configuration': maker => {
    maker.record.configurations.push({ version: 1, atMs: 1000 })
    maker.record.spans.push({ kind: 'storeLinkSilent', host, fromMs: 900, toMs: 3500 })
    maker.addProbe(1, 404, 3600)
  },
  'an endpoint that left got work while the store was away': maker => {
    maker.record.leaving.push({ endpointId: engineId, atMs: 1000 })
    maker.record.spans.push({ kind: 'storeBusy', host: undefined, fromMs: 900, toMs: 4000 })
    maker.addCall({ id: 'drained', atMs: 2700 })
  }
}

/** The record of a soak in which one thing happened. */
export function createSoakRecordOf (happening: string): SoakRecord {
  const maker = new RecordMaker()
  maker.addCall({ id: 'whole', atMs: 50 })
  const fill = fillers[happening]
  if (!fill) throw new Error(`no record in which ${happening}`)
  fill(maker)
  return maker.record
}
