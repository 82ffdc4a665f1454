/** Events as a faulty engine writes them, with one thing wrong about an id. */

export const eventSpoilings = ['higher', 'lower', 'zero', 'word', 'minus', 'huge', 'field', 'lineFeed', 'eventEnd', 'padded'] as const
export type EventSpoiling = typeof eventSpoilings[number]

/**
 * Spoils a whole event.
 *
 * @example
 * spoilEvent('id: 3\ndata: x\n\n', 'word') // 'id: three\ndata: x\n\n'
 */
export function spoilEvent (event: string, spoiling: EventSpoiling): string {
  const [line = ''] = event.split('\n')
  const id = Number(line.slice('id: '.length))
  const lines: Record<EventSpoiling, string> = {
    higher: `id: ${id + 4}`,
    lower: `id: ${Math.max(0, id - 1)}`,
    zero: 'id: 0',
    word: 'id: three',
    minus: `id: -${id}`,
    huge: 'id: 9007199254740993',
    field: `ie: ${id}`,
    lineFeed: line,
    eventEnd: line,
    padded: `id: 0${id}`
  }
  if (spoiling === 'lineFeed') return event.replace('\n', '')
  if (spoiling === 'eventEnd') return event.slice(0, -1)
  return event.replace(line, lines[spoiling])
}
