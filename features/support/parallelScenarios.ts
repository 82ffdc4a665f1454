/** Decides which scenarios may run at the same time. */
import { setParallelCanAssign } from '@cucumber/cucumber'

/** Of scenarios that measure time or memory, or start as many processes as the machine bears. */
const aloneTag = '@alone'

type Scenario = Parameters<Parameters<typeof setParallelCanAssign>[0]>[0]

function isAlone ({ tags }: Scenario): boolean {
  return tags.some(({ name }) => name === aloneTag)
}

setParallelCanAssign((next, running) => !running.some(isAlone) && (running.length === 0 || !isAlone(next)))
