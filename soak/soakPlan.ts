/** Plans from a seed which faults strike what and when. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** What strikes a host, its link to the store, an endpoint, the link to one, or the store. */
export const faultKinds = [
  'hostPause', 'hostKill', 'hostStop', 'clockJump',
  'storeLinkDelayed', 'storeLinkSilent', 'storeLinkCutUp', 'storeLinkCutDown', 'storeLinkReset',
  'endpointLinkDelayed', 'endpointLinkSilent', 'endpointLinkCutUp', 'endpointLinkCutDown', 'endpointLinkReset',
  'engineCrash', 'endpointDark', 'endpointErrors', 'endpointCuts', 'lateOrders', 'endpointLeaves',
  'storeBusy', 'storeSilent', 'storeReset', 'storeAnswersLost', 'storeUnwritable', 'allHostsKilled', 'allEndpointsFail'
] as const
/** Drawn for seeds from `firstLateSeed` on, so that older seeds keep their events. */
export const lateFaultKinds = ['endpointSaysLeaving', 'endpointWantsNothing'] as const
/** Drawn for seeds from `firstRestoreSeed` on. */
export const restoreFaultKinds = ['storeRestored'] as const
/** Drawn for seeds from `firstEndlessSeed` on. */
export const endlessFaultKinds = ['endpointEndless', 'hostReloads'] as const
/** Drawn for seeds from `firstPipelinedSeed` on. */
export const restartFaultKinds = ['portTaken', 'hostStopSeries'] as const
/** Drawn for seeds from `firstSlowSeed` on. */
export const slowFaultKinds = ['slowReaders'] as const
export type FaultKind = typeof faultKinds[number] | typeof lateFaultKinds[number] | typeof restoreFaultKinds[number] | typeof endlessFaultKinds[number] | typeof restartFaultKinds[number] | typeof slowFaultKinds[number]

const firstLateSeed = 1000
const firstRestoreSeed = 20_000
const firstEndlessSeed = 30_000
/** From this seed on, callers also send requests before they have the answers to those before. */
export const firstPipelinedSeed = 40_000
/** From this seed on, callers also end their side of connections before they have the answer, and send bodies over the limit. */
export const firstHalfClosedSeed = 50_000
/** From this seed on, callers also send a request behind a stream that is still read. */
export const firstBehindStreamSeed = 60_000
/** From this seed on, the configuration has client accounts, and callers send keys. */
export const firstAccountsSeed = 90_000
/** From this seed on, some callers ask for long answers, read them slowly or not at all, and leave. */
export const firstSlowSeed = 100_000

/** What operators and callers do that is no fault, but has promises of its own. */
export const changeKinds = ['newConfiguration', 'newVersion', 'crashingRequest', 'burst'] as const
export type ChangeKind = typeof changeKinds[number]

export interface PlannedEvent {
  kind: FaultKind | ChangeKind
  /** From the start of the run. */
  atMs: number
  /** Until it ends; changes last no time of their own. */
  forMs: number
  /** Picks what is struck: the remainder by the number of candidates. */
  target: number
  /** From 0 to 1, for faults that strike a part or have a size. */
  size: number
}

export interface SoakPlanOptions {
  seed: number
  /** Time in which faults begin and end. */
  faultsMs: number
  /** Kinds to draw from; all where left out. */
  kinds?: readonly (FaultKind | ChangeKind)[]
}

/** Before the first fault the system serves undisturbed. */
const firstFaultMs = 1500
/** Pauses and outages last from less than the time of a lease to more than it. */
const minFaultMs = 300
const maxFaultMs = 6000
/** Mean time between the beginnings of two events. */
const meanGapMs = 1800
/** Part of the seeds whose faults come one after the other, with this much time between them. */
const seriesPart = 0.4
const seriesGapMs = 2500

/**
 * Draws the events of a run, in the order of their beginnings; the same seed gives the same ones.
 *
 * @example
 * createSoakPlan({ seed: 7, faultsMs: 20_000 })[0] // { kind: 'storeBusy', atMs: 1813, forMs: 2040, target: 41, size: 0.3 }
 */
export function createSoakPlan ({ seed, faultsMs, kinds = listKinds(seed) }: SoakPlanOptions): PlannedEvent[] {
  const random = createRandom(seed)
  const isSeries = random() < seriesPart
  const events: PlannedEvent[] = []
  let atMs = firstFaultMs
  while (atMs < faultsMs) {
    const kind = kinds[Math.floor(random() * kinds.length)]!
    const drawnMs = minFaultMs + random() * (maxFaultMs - minFaultMs)
    const forMs = (changeKinds as readonly string[]).includes(kind) ? 0 : Math.round(Math.min(drawnMs, faultsMs - atMs))
    events.push({ kind, atMs: Math.round(atMs), forMs, target: Math.floor(random() * 1000), size: random() })
    atMs += isSeries ? forMs + seriesGapMs : -Math.log(1 - random()) * meanGapMs
  }
  return events
}

function listKinds (seed: number): (FaultKind | ChangeKind)[] {
  const laterKinds = [[firstLateSeed, lateFaultKinds], [firstRestoreSeed, restoreFaultKinds], [firstEndlessSeed, endlessFaultKinds], [firstPipelinedSeed, restartFaultKinds], [firstSlowSeed, slowFaultKinds]] as const
  return [...faultKinds, ...changeKinds, ...laterKinds.flatMap(([firstSeed, kinds]) => seed >= firstSeed ? kinds : [])]
}

/** Numbers from 0 to 1 that follow from a seed. */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
