// Adds a message to the assertions of undici as it is bundled: the file and the expression, which Node.js would read from the source file.
import { readFile } from 'node:fs/promises'
import { basename } from 'node:path'

const undiciFiles = /[\\/]undici[\\/]lib[\\/].*\.js$/
/** An assertion on one line that has no message of its own. */
const assertion = /^(\s*)assert\((.*[^'"`])\)$/gm

/** Names each assertion of a file, as in `assert(!this.paused, "client-h1.js: !this.paused")`. */
export function nameAssertions (source, file) {
  return source.replace(assertion, (_line, indent, expression) => `${indent}assert(${expression}, ${JSON.stringify(`${basename(file)}: ${expression}`)})`)
}

/** Plugin for esbuild. */
export const assertionNames = {
  name: 'assertion names',
  setup (build) {
    build.onLoad({ filter: undiciFiles }, async ({ path }) => ({ contents: nameAssertions(await readFile(path, 'utf8'), path), loader: 'js' }))
  }
}
