/** Dependencies that the parts of the proxy share. */
import type { CallerTimeouts } from '../../core/callerTimeouts.js'
import type { EndpointNotices } from '../../core/endpointNotices.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { InFlightRequests } from '../../core/inFlightRequests.js'
import type { HostRetryBudget } from '../../core/hostRetryBudget.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { ResponseHead, CallerRequest, SystemRequestFields } from '../../schemas/callerRequest.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { StandstillMonitor } from '../eventLoop/standstillMonitor.js'
import type { RequestForwarder } from '../forwarding/requestForwarder.js'
import type { QuotaTask } from '../quota/quotaTask.js'
import type { StreamOrigins } from '../streams/streamOrigins.js'
import type { CrashDetectionTask } from './crashDetectionTask.js'
import type { EndpointNoticeTask } from './endpointNoticeTask.js'
import type { EndpointSelector } from './endpointSelector.js'
import type { ShutdownAdmission } from './shutdownAdmission.js'

/** Which requests are suspected of crashing endpoints, by their fingerprints and the prompt parts that they share with others. */
export interface SuspectChecks {
  /** Returns the failure for a request that is refused; undefined where it may run. */
  findRefusal: (fingerprint: string, parts: readonly string[]) => RequestFailure | undefined
  /** Whether an endpoint crashed while a request with this content ran on it. */
  isSuspect: (fingerprint: string) => boolean
  /** Whether engines crashed beneath one of these parts, on which no answer has begun as far as known. */
  hasSuspectPart: (parts: readonly string[]) => boolean
  /** Lets a refused request run to find whether its parts still crash engines; returns whether it may run. */
  tryBeginTrial: (fingerprint: string, parts: readonly string[]) => boolean
  /** Makes a trial due again that was not sent to an engine. */
  cancelTrial: (parts: readonly string[]) => void
  /** Records that an endpoint answered a request with this content. */
  recordServed: (fingerprint: string) => void
  /** Records that an engine has begun its answer to a request with these parts. */
  recordBegun: (parts: readonly string[]) => void
}

export interface ProxyContext {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  health: EndpointHealth
  retryBudget: HostRetryBudget
  endpointSelector: EndpointSelector
  callerTimeouts: CallerTimeouts
  suspects: SuspectChecks
  inFlightRequests: InFlightRequests
  crashDetection: CrashDetectionTask
  notices: EndpointNotices
  noticeTask: EndpointNoticeTask
  forwarder: Pick<RequestForwarder, 'isStranded' | 'selectPeer' | 'recordFailure' | 'recordResponse'>
  shutdown: Pick<ShutdownAdmission, 'endsAtMs' | 'canComplete' | 'recordServed'>
  standstill: Pick<StandstillMonitor, 'countStandstills' | 'isCatchingUp' | 'waitForCloses'>
  streamOrigins: Pick<StreamOrigins, 'recordBegun' | 'recordEnded' | 'resolve'>
  /** Undefined if no quotas are kept. */
  quotas: Pick<QuotaTask, 'charge'> | undefined
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number
  encodeRequestHeaders: (request: CallerRequest, systemFields: SystemRequestFields) => string[]
  decodeAnswerHead: (status: number, rawHeaders: readonly string[]) => ResponseHead
  encodeRefusalHeaders: (requestId: string | undefined, retryAfterMs: number | undefined) => string[]
  removeAccountHeaders: (headers: readonly string[]) => string[]
}
