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
import type { SuspectContentTask } from '../peers/suspectContentTask.js'
import type { CrashDetectionTask } from './crashDetectionTask.js'
import type { EndpointNoticeTask } from './endpointNoticeTask.js'
import type { EndpointSelector } from './endpointSelector.js'

export interface ProxyContext {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  health: EndpointHealth
  retryBudget: HostRetryBudget
  endpointSelector: EndpointSelector
  callerTimeouts: CallerTimeouts
  /** Which request fingerprints are suspected of crashing endpoints. */
  suspects: Pick<SuspectContentTask, 'findRefusal' | 'isSuspect' | 'recordServed'>
  inFlightRequests: InFlightRequests
  crashDetection: CrashDetectionTask
  notices: EndpointNotices
  noticeTask: EndpointNoticeTask
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number
  encodeRequestHeaders: (request: CallerRequest, systemFields: SystemRequestFields) => string[]
  decodeAnswerHead: (status: number, rawHeaders: readonly string[]) => ResponseHead
  encodeRefusalHeaders: (requestId: string | undefined, retryAfterMs: number | undefined) => string[]
}
