/** Ports of this process of tests; another one has others. */
import { claimedPorts, claimPorts } from '../../src/standin/fleet/claimPorts.js'

/** Ports that are the same on all hosts of a fleet. */
const hostPortCount = 8

export const hostsBasePort = await claimPorts()
/** For single listeners, with how many there are. */
export const [firstTestPort, testPortCount] = [hostsBasePort + hostPortCount, claimedPorts - hostPortCount]
