/** The progress formatter of cucumber, closed by the features that took longest and one plain line of counts. */
import { ProgressFormatter } from '@cucumber/cucumber'

type Attempt = ReturnType<ProgressFormatter['eventDataCollector']['getTestCaseAttempts']>[number]

const shownFeatures = 10

/** Prints `N passed, M failed` after the summary. */
export default class PlainSummary extends ProgressFormatter {
  override logSummary (testRunFinished: Parameters<ProgressFormatter['logSummary']>[0]): void {
    super.logSummary(testRunFinished)
    const attempts = this.eventDataCollector.getTestCaseAttempts()
    const settled = attempts.filter(attempt => !attempt.willBeRetried)
    const passed = settled.filter(attempt => attempt.worstTestStepResult.status === 'PASSED').length
    const longest = sumSeconds(settled).slice(0, shownFeatures)
    this.log(`Features that took longest:\n${longest.map(([uri, seconds]) => `  ${seconds.toFixed(1)} s ${uri}\n`).join('')}`)
    this.log(`${passed} passed, ${settled.length - passed} failed\n`)
  }
}

/** Seconds that the steps and hooks of each feature took, the longest first. */
function sumSeconds (attempts: readonly Attempt[]): Array<[uri: string, seconds: number]> {
  const sums = new Map<string, number>()
  for (const { pickle: { uri }, stepResults } of attempts) {
    const seconds = Object.values(stepResults).reduce((sum, { duration }) => sum + duration.seconds + duration.nanos / 1e9, 0)
    sums.set(uri, (sums.get(uri) ?? 0) + seconds)
  }
  return [...sums].toSorted(([, left], [, right]) => right - left)
}
