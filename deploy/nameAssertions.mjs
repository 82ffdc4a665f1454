// Adds a message to the assertions of undici as it is bundled: the file and the expression, which Node.js would read from the source file.
import { readFile } from 'node:fs/promises'
import { basename } from 'node:path'

const undiciFiles = /[\\/]undici[\\/]lib[\\/].*\.js$/
/** An assertion that begins its line; `assert` is the whole name. */
const assertionStart = /^[ \t]*assert\(/gm
/** One in another place or form, which would have no name. */
const otherAssertion = /^(?![ \t]*(?:assert\(|\/\/|\*)).*(?<![\w.$])assert(?:\.\w+)?\(/m
/** What may follow an assertion that is a statement of its own. */
const statementEnd = /^[ \t]*;?[ \t]*(\/\/.*)?$/
const tokens = /'(?:[^'\\\n]|\\.)*'|"(?:[^"\\\n]|\\.)*"|`(?:[^`\\]|\\.)*`|\/\/.*|\/\*[^]*?\*\/|[()[\]{},]/g

/**
 * Names each assertion of a file that has no message, as in `assert(!this.paused, "client-h1.js: !this.paused")`. Throws for one that it
 * cannot read: it would end a process without a name.
 */
export function nameAssertions (source, file) {
  const other = otherAssertion.exec(source)
  if (other) throw new Error(`${file}: the assertion cannot be named: ${other[0].trim()}`)
  let [named, position] = ['', 0]
  for (const { index, 0: start } of source.matchAll(assertionStart)) {
    const from = index + start.length
    const { end, hasMessage } = readArguments(source, from) ?? {}
    const line = source.slice(0, from).split('\n').length
    if (end === undefined || !statementEnd.test(source.slice(end + 1).split('\n', 1)[0])) throw new Error(`${file}:${line}: the assertion cannot be read`)
    if (hasMessage) continue
    const expression = source.slice(from, end).trim().replace(/\s+/g, ' ')
    named += `${source.slice(position, end)}, ${JSON.stringify(`${basename(file)}: ${expression}`)}`
    position = end
  }
  return named + source.slice(position)
}

/** Finds the end of a call's arguments, and whether there are several. Returns undefined where a comment or a bracket hides it. */
function readArguments (source, from) {
  let [depth, hasMessage] = [0, false]
  tokens.lastIndex = from
  for (let found = tokens.exec(source); found; found = tokens.exec(source)) {
    const token = found[0]
    if (token.startsWith('//') || token.startsWith('/*')) return undefined
    if (token === ',' && depth === 0) hasMessage = true
    else if ('([{'.includes(token)) depth++
    else if (')]}'.includes(token) && depth-- === 0) return token === ')' ? { end: found.index, hasMessage } : undefined
  }
  return undefined
}

/** Plugin for esbuild. A file with an assertion that cannot be named fails the build. */
export const assertionNames = {
  name: 'assertion names',
  setup (build) {
    build.onLoad({ filter: undiciFiles }, async ({ path }) => ({ contents: nameAssertions(await readFile(path, 'utf8'), path), loader: 'js' }))
  }
}
