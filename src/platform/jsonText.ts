/** Finds what is wrong with the text of a JSON document, without repeating any of it: it may hold secrets. */
import { isUtf8 } from 'node:buffer'

/** Members of objects that lie deeper are not read by hosts. */
const maxDepth = 8

/**
 * Describes why a text is not JSON; undefined if it is.
 *
 * @example
 * describeSyntaxError('{"a":}') // 'not JSON from line 1, column 6 on'
 */
export function describeSyntaxError (text: string): string | undefined {
  if (text.trim() === '') return 'the file is empty'
  if (text.startsWith('\ufeff')) return 'the file begins with a byte order mark, which hosts cannot decode'
  const error = parseText(text)
  if (error === undefined) return undefined
  const position = findPosition(text, error)
  const lines = text.slice(0, position).split('\n')
  return position >= text.length ? `the JSON ends too early, at line ${lines.length}` : `not JSON from line ${lines.length}, column ${lines.at(-1)!.length + 1} on`
}

/**
 * Describes bytes that hosts replace, as they are no UTF-8.
 *
 * @example
 * describeEncoding(Buffer.from([0x22, 0xff, 0x22])) // 'the file is not UTF-8; …'
 */
export function describeEncoding (bytes: Uint8Array): string | undefined {
  return isUtf8(bytes) ? undefined : 'the file is not UTF-8; hosts replace the bytes that they cannot read'
}

/** Returns the message of the error; undefined if the text is JSON. */
function parseText (text: string): string | undefined {
  try {
    JSON.parse(text)
    return undefined
  } catch (error) {
    return (error as Error).message
  }
}

/** V8 names the position of most errors. Of an unexpected token it quotes the text instead, so that its position is searched for. */
function findPosition (text: string, message: string): number {
  const position = /at position (\d+)/.exec(message)?.[1]
  if (position !== undefined) return Number(position)
  const isUnexpected = (length: number): boolean => parseText(text.slice(0, length))?.startsWith('Unexpected token') ?? false
  if (!isUnexpected(text.length)) return text.length
  let [shortest, longest] = [0, text.length]
  while (longest - shortest > 1) {
    const middle = (shortest + longest) >> 1
    if (isUnexpected(middle)) longest = middle
    else shortest = middle
  }
  return longest - 1
}

interface OpenValue {
  /** Names of an object's members so far; undefined for a list. */
  readonly names: Set<string> | undefined
  /** The member or the position that is being read. */
  part: string | number
  isNameExpected: boolean
}

/**
 * Lists members that stand more than once in an object, of which hosts use the last one. `text` is JSON.
 *
 * @example
 * listRepeatedMembers('{"a":[{"b":1,"b":2}]}') // [['a', 0, 'b']]
 */
export function listRepeatedMembers (text: string): (string | number)[][] {
  const repeated: (string | number)[][] = []
  const open: OpenValue[] = []
  for (let position = 0; position < text.length; position++) {
    const top = open.at(-1)
    const character = text[position]
    if (character === '{') open.push({ names: new Set(), part: '', isNameExpected: true })
    else if (character === '[') open.push({ names: undefined, part: 0, isNameExpected: false })
    else if (character === '}' || character === ']') open.pop()
    else if (character === ',' && top) {
      if (top.names) top.isNameExpected = true
      else top.part = Number(top.part) + 1
    } else if (character === '"') {
      const end = findStringEnd(text, position)
      if (top?.names && top.isNameExpected) {
        top.part = JSON.parse(text.slice(position, end + 1)) as string
        top.isNameExpected = false
        if (top.names.has(top.part) && open.length <= maxDepth) repeated.push(open.map(({ part }) => part))
        top.names.add(top.part)
      }
      position = end
    }
  }
  return repeated
}

function findStringEnd (text: string, start: number): number {
  let end = start + 1
  while (text[end] !== '"') end += text[end] === '\\' ? 2 : 1
  return end
}
