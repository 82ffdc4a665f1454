/** The rules on which graceful shutdown depends, as functions, so that tests can disable each one. */

export interface ShutdownRules {
  /** Whether an attempt is returned to its gateway when its endpoint or the endpoint's owner shuts down. */
  canReturnAttempt: (isRunning: boolean) => boolean
  /** Whether an endpoint may be handed over, given the number of attempts that have not ended on it. */
  canHandOver: (attempts: number) => boolean
}

export const shutdownRules: ShutdownRules = Object.freeze<ShutdownRules>({
  canReturnAttempt: isRunning => !isRunning,
  canHandOver: attempts => attempts === 0
})
