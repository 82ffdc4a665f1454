/** Creates the tasks that find request contents and prompt parts that crash endpoints, and connects them to each other. */
import { computeHash } from '../core/rendezvousHash.js'
import type { CrashNotice } from '../core/crashDetector.js'
import type { ClusterViewChange } from '../core/clusterView.js'
import type { Clock } from '../ports/clock.js'
import type { EventLog } from '../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../ports/store.js'
import type { HostMessage, SuspectMessage } from '../schemas/datagram.js'
import { formatPartFingerprint, formatSuspectKey, parsePartFingerprint, parseSuspectName } from '../schemas/hostRows.js'
import type { SuspectRow } from '../schemas/hostRows.js'
import { SuspectContentTask } from '../tasks/peers/suspectContentTask.js'
import { SuspectPartTask } from '../tasks/peers/suspectPartTask.js'
import { SuspectRowStore } from '../tasks/peers/suspectRowStore.js'
import type { SuspectChecks } from '../tasks/proxy/proxyContext.js'

export interface SuspectTasksOptions {
  clock: Clock
  log: EventLog
  own: { address: string, host: string }
  /** All hosts, this one included. */
  listHosts: () => { address: string, host: string }[]
  send: (address: string, message: HostMessage) => void
  /** Runs a transaction at the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  isStoreUnavailable: () => boolean
  random: () => number
  /** Called with each crash that another host reports or this host has detected, for the crash detector. */
  receiveCrash: (crash: string) => void
  /** Called when requests with a fingerprint, of a content or a prompt part, start to be refused. */
  receiveRefused: (fingerprint: string) => void
}

export interface SuspectTasks {
  checks: SuspectChecks
  reportCrash: (notice: CrashNotice) => void
  receiveMessage: (message: SuspectMessage) => void
  applyChange: (change: Extract<ClusterViewChange, { kind: 'suspect' }>) => void
  start: () => void
  stop: () => void
}

/**
 * Creates the tasks of one host; `start` begins the removal of old rows.
 *
 * @example
 * const tasks = createSuspectTasks({ clock, log, own, listHosts, send, transact, isStoreUnavailable, random, receiveCrash, receiveRefused })
 * tasks.checks.findRefusal(fingerprint, ['5c1e', '91bd']) // undefined where such a request may run
 */
export function createSuspectTasks (options: SuspectTasksOptions): SuspectTasks {
  const { clock, log, own, listHosts, send, transact, isStoreUnavailable, random, receiveCrash, receiveRefused } = options
  const notifyOthers = (message: SuspectMessage): void => {
    for (const { address } of listHosts()) if (address !== own.address) send(address, message)
  }
  const notifyHosts = (rows: readonly SuspectRow[]): void => {
    for (const { crash, ...row } of rows) notifyOthers({ type: 'suspect', ...row, crashes: [crash] })
  }
  const isCleanupHost = (): boolean => {
    const ranked = listHosts().map(({ host }) => ({ host, hash: computeHash(`remover ${host}`) })).sort((left, right) => right.hash - left.hash)
    return ranked[0]?.host === own.host
  }
  const rowStore = new SuspectRowStore({
    clock, log, transact, notifyHosts, isCleanupHost, random, isProtected: fingerprint => partTask.isRefused(parsePartFingerprint(fingerprint) ?? '')
  })
  const contentTask = new SuspectContentTask({
    clock, log, rowStore, notifyHosts, isStoreUnavailable, isExplained: crash => partTask.isExplained(crash), receiveCrash, receiveContentRefused: receiveRefused
  })
  const partTask: SuspectPartTask = new SuspectPartTask({
    clock,
    log,
    own,
    listHostNames: () => listHosts().map(({ host }) => host),
    notifyOthers,
    rowStore,
    random,
    receivePartsRefused: parts => receiveRefused(formatPartFingerprint(parts[0]!)),
    receiveExplainedCrash: crash => contentTask.receiveExplainedCrash(crash)
  })
  return {
    checks: {
      findRefusal: (fingerprint, parts) => contentTask.findRefusal(fingerprint) ?? partTask.findRefusal(parts),
      isSuspect: fingerprint => contentTask.isSuspect(fingerprint),
      hasSuspectPart: parts => partTask.hasSuspect(parts),
      tryBeginTrial: (fingerprint, parts) => contentTask.findRefusal(fingerprint) === undefined && partTask.tryBeginTrial(parts),
      cancelTrial: parts => partTask.cancelTrial(parts),
      recordServed: fingerprint => contentTask.recordServed(fingerprint),
      recordBegun: parts => partTask.recordServed(parts)
    },
    reportCrash: ({ crash, requests }) => {
      partTask.reportCrash(crash, requests.filter(({ hasBegun }) => !hasBegun))
      contentTask.reportCrash(crash, requests.map(({ content }) => content))
    },
    receiveMessage: message => {
      if (parsePartFingerprint(message.fingerprint) === undefined) contentTask.addSuspectRecord(message)
      else partTask.receiveMessage(message)
    },
    applyChange: ({ name, suspect, version, mayBeRestored }) => {
      const { fingerprint, crash } = parseSuspectName(name)
      if (mayBeRestored) {
        if (!rowStore.recordRestored(formatSuspectKey({ fingerprint, crash }), suspect, version)) return
      } else if (suspect) rowStore.recordRow(suspect, version)
      else rowStore.recordRemoval(formatSuspectKey({ fingerprint, crash }))
      if (parsePartFingerprint(fingerprint) !== undefined) partTask.applyRow(fingerprint, crash, suspect)
      else if (suspect) contentTask.addSuspectRecord({ fingerprint, crashes: [crash] })
    },
    start: () => rowStore.start(),
    stop: () => {
      rowStore.stop()
      partTask.stop()
    }
  }
}
