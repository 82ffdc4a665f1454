/** Watches what each host of the fuzzed system has in force, again and again. */
import type { FuzzSystem } from './fuzzSystem.js'

const watchIntervalMs = 250
/** An accepted change is in force on every host that takes work, within this time. */
const inForceWithinMs = 5000

/** Starts the watch; what breaks the promise goes to what the system has observed. */
export function watchConfiguration (system: FuzzSystem): void {
  const { clock, observed } = system
  const versions = new Map<string, number>()
  const check = (): void => {
    const nowMs = clock.readMonotonic()
    const newest = Math.max(0, ...system.accepted.filter(change => nowMs - change.atMs > inForceWithinMs).map(change => change.version))
    for (const { host, configuration, isServing } of [...system.schedulers, ...system.gateways]) {
      if (host.state !== 'running' || !isServing) continue
      const { version } = configuration.view
      const before = versions.get(host.id) ?? 0
      if (version < before) observed.push({ promise: 'configurationHolds', detail: `${host.id} went back from version ${before} to ${version}` })
      if (version < newest && configuration.view.isCurrent()) {
        observed.push({ promise: 'configurationHolds', detail: `${host.id} takes work with version ${version}, but ${newest} was accepted` })
      }
      versions.set(host.id, version)
    }
    clock.setTimer(check, watchIntervalMs)
  }
  check()
}
