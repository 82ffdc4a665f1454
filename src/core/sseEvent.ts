/** Reads what a relay has to know of one server-sent event. */

/** `filler`: a comment or a field that carries nothing; `unreadable`: an event whose id is not one whole number, or that has no data. */
export type SseBlock =
  | { readonly kind: 'event', readonly id: number | undefined }
  | { readonly kind: 'filler' }
  | { readonly kind: 'unreadable' }

/**
 * Parses the lines up to an empty one. Only an id that is written as a number is, to the letter, counts as one: the caller may send back
 * the text.
 *
 * @example
 * parseSseBlock('id: 3\ndata: x\n\n') // { kind: 'event', id: 3 }
 * parseSseBlock('id: 3data: x\n\n') // { kind: 'unreadable' }
 */
export function parseSseBlock (text: string): SseBlock {
  const ids: string[] = []
  let hasData = false
  for (const line of text.split('\n')) {
    const name = /^[^:\r]*/.exec(line)![0]
    if (name === 'data') hasData = true
    if (name === 'id') ids.push(line)
  }
  if (!hasData && ids.length === 0) return { kind: 'filler' }
  if (ids.length === 0) return { kind: 'event', id: undefined }
  const id = parseId(ids[0]!)
  return hasData && ids.length === 1 && id !== undefined ? { kind: 'event', id } : { kind: 'unreadable' }
}

function parseId (line: string): number | undefined {
  const digits = /^id: ?(\d+)\r?$/.exec(line)?.[1]
  const id = Number(digits)
  return digits !== undefined && Number.isSafeInteger(id) && String(id) === digits ? id : undefined
}
