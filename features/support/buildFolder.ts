/** Folders for builds of the host's program. */
import { mkdirSync, mkdtempSync } from 'node:fs'

/** Creates an empty folder for one build; it lies in the repository, as a build needs the installed packages. */
export function createBuildFolder (): string {
  mkdirSync('target', { recursive: true })
  return mkdtempSync('target/test-')
}
