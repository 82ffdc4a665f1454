/** The progress formatter of cucumber, closed by one plain line of counts. */
import { ProgressFormatter } from '@cucumber/cucumber'

/** Prints `N passed, M failed` after the summary. */
export default class PlainSummary extends ProgressFormatter {
  override logSummary (testRunFinished: Parameters<ProgressFormatter['logSummary']>[0]): void {
    super.logSummary(testRunFinished)
    const attempts = this.eventDataCollector.getTestCaseAttempts()
    const settled = attempts.filter(attempt => !attempt.willBeRetried)
    const passed = settled.filter(attempt => attempt.worstTestStepResult.status === 'PASSED').length
    this.log(`${passed} passed, ${settled.length - passed} failed\n`)
  }
}
