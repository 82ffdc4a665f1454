/** Dependencies that the parts of the proxy share. */
import type { CallerWaits } from '../../core/callerWaits.js'
import type { EndpointSigns } from '../../core/endpointSigns.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import type { NewsBoard } from '../../core/newsBoard.js'
import type { OpenContents } from '../../core/openContents.js'
import type { SendBudget } from '../../core/sendBudget.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { AnswerHead, CallerRequest, SendMark } from '../../schemas/callerRequest.js'
import type { SuspectTask } from '../peers/suspectTask.js'
import type { CrashTask } from './crashTask.js'
import type { SignTask } from './signTask.js'
import type { TargetFinder } from './targetFinder.js'

export interface FrontContext {
  clock: Clock
  log: EventLog
  board: NewsBoard
  health: EndpointHealth
  budget: SendBudget
  targets: TargetFinder
  waits: CallerWaits
  /** Which request fingerprints are suspected of crashing endpoints. */
  suspects: Pick<SuspectTask, 'findRefusal' | 'isSuspect' | 'recordServed'>
  openContents: OpenContents
  crashes: CrashTask
  signs: EndpointSigns
  signTask: SignTask
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number
  encodeRequestHeaders: (request: CallerRequest, mark: SendMark) => string[]
  decodeAnswerHead: (status: number, rawHeaders: readonly string[]) => AnswerHead
  encodeRefusalHeaders: (requestId: string | undefined, retryAfterMs: number | undefined) => string[]
}
