/** Splits a stream of server-sent events into whole events, in order and each once. */

const eventEnd = '\n\n'
const idField = 'id: '
const lastEvent = 'data: [DONE]'

/** `gap`: an event is missing; what follows it cannot be passed on. */
export type EventReading = 'open' | 'done' | 'gap'

/**
 * Takes text as it comes. Events that carry an `id` count from 0; one that was read before is left out.
 * The `id` field itself is not passed on, since it numbers the events of one engine's answer.
 *
 * @example
 * const reader = new EventReader(0)
 * reader.read('id: 0\ndata: {}\n\n') // 'data: {}\n\n'
 */
export class EventReader {
  #rest = ''
  #nextId: number
  #state: EventReading = 'open'
  #isNumbered = true

  constructor (firstId: number) {
    this.#nextId = firstId
  }

  /** Number of the event that comes next. */
  get nextId (): number {
    return this.#nextId
  }

  get state (): EventReading {
    return this.#state
  }

  /** Whether all events so far had a number, so that the rest can be asked for. */
  get isNumbered (): boolean {
    return this.#isNumbered
  }

  /** Returns the whole events that can be passed on now. */
  read (text: string): string {
    this.#rest += text
    let start = 0
    let events = ''
    while (this.#state === 'open') {
      const end = this.#rest.indexOf(eventEnd, start)
      if (end < 0) break
      events += this.#takeEvent(this.#rest.slice(start, end + eventEnd.length))
      start = end + eventEnd.length
    }
    this.#rest = this.#rest.slice(start)
    return events
  }

  #takeEvent (event: string): string {
    if (!event.startsWith(idField)) {
      this.#isNumbered = false
      return this.#acceptEvent(event)
    }
    const idEnd = event.indexOf('\n')
    const id = Number(event.slice(idField.length, idEnd))
    if (id < this.#nextId) return ''
    if (id === this.#nextId) return this.#acceptEvent(event.slice(idEnd + 1))
    this.#state = 'gap'
    return ''
  }

  #acceptEvent (event: string): string {
    this.#nextId++
    if (event.startsWith(lastEvent)) this.#state = 'done'
    return event
  }
}
