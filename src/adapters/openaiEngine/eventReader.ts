/** Splits a stream of server-sent events into complete events, in order and without duplicates. */

const eventDelimiter = '\n\n'
const idFieldPrefix = 'id: '
const lastEventPrefix = 'data: [DONE]'

/** `done`: the last event was read; `gap`: an event is missing, so that later events cannot be passed on. */
export type EventReaderState = 'open' | 'done' | 'gap'

/**
 * Parses text in chunks of any size. Events with an `id` are numbered from 0, and one that was already read is dropped.
 * The `id` field is removed, since it numbers the events of one engine's response only.
 *
 * @example
 * const reader = new EventReader(0)
 * reader.read('id: 0\ndata: {}\n\n') // 'data: {}\n\n'
 */
export class EventReader {
  #buffer = ''
  #nextId: number
  #state: EventReaderState = 'open'
  #isNumbered = true

  constructor (firstId: number) {
    this.#nextId = firstId
  }

  /** Number of the next expected event. */
  get nextId (): number {
    return this.#nextId
  }

  get state (): EventReaderState {
    return this.#state
  }

  /** Whether all events so far had a number, so that the rest of the stream can be requested. */
  get isNumbered (): boolean {
    return this.#isNumbered
  }

  /** Adds text and returns the complete events that can be passed on now. */
  read (text: string): string {
    this.#buffer += text
    let start = 0
    let events = ''
    while (this.#state === 'open') {
      const end = this.#buffer.indexOf(eventDelimiter, start)
      if (end < 0) break
      events += this.#processEvent(this.#buffer.slice(start, end + eventDelimiter.length))
      start = end + eventDelimiter.length
    }
    this.#buffer = this.#buffer.slice(start)
    return events
  }

  #processEvent (event: string): string {
    if (!event.startsWith(idFieldPrefix)) {
      this.#isNumbered = false
      return this.#acceptEvent(event)
    }
    const idEnd = event.indexOf('\n')
    const id = Number(event.slice(idFieldPrefix.length, idEnd))
    if (id < this.#nextId) return ''
    if (id === this.#nextId) return this.#acceptEvent(event.slice(idEnd + 1))
    this.#state = 'gap'
    return ''
  }

  #acceptEvent (event: string): string {
    this.#nextId++
    if (event.startsWith(lastEventPrefix)) this.#state = 'done'
    return event
  }
}
