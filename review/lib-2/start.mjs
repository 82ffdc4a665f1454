/** Runs the case in a folder. A case that can't be loaded, as its stand-ins are not built, exits with 2 like any other that could not run. */
import { join } from 'node:path'

try {
  await import(join(process.argv[2], 'run.mjs'))
} catch (error) {
  console.error(`could not run: ${error.message}`)
  process.exit(2)
}
