/** The rules that a graceful shutdown rests on, as functions, so that tests can switch each one off. */

export interface ShutdownRules {
  /** Whether an attempt goes back to its gateway when its endpoint or the endpoint's owner leaves. */
  mayReturn: (isRunning: boolean) => boolean
  /** Whether an endpoint may be handed over, given how many attempts it still has. */
  mayHandOver: (attempts: number) => boolean
}

export const shutdownRules: ShutdownRules = Object.freeze<ShutdownRules>({
  mayReturn: isRunning => !isRunning,
  mayHandOver: attempts => attempts === 0
})
