/** The promises that the oracle knows by name. */

export type PromiseName =
  | 'rightAdapter' | 'neverUnloadedWhileServing' | 'wholeAnswer' | 'notRunMeansNotRun' | 'atMostOnce'
  | 'leavingGetsNoWork' | 'gracefulCutsNothing' | 'configurationHolds' | 'everyRequestAnswered' | 'crashesBounded' | 'loadsWithinBudget'

/** A promise that was broken, and how. */
export interface Violation {
  promise: PromiseName
  detail: string
}
