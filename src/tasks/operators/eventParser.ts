/** Reads server-sent events from a stream of chunks. */

export interface ServerEvent {
  name: string
  data: string
}

const maxEventBytes = 1024 * 1024

/** Holds back an unfinished event until the rest has come. */
export class EventParser {
  #rest = ''
  #decoder = new TextDecoder()

  /**
   * Takes a chunk and returns the events that it completes. Throws where an event is longer than 1 MiB.
   *
   * @example
   * new EventParser().receive(Buffer.from('event: missed\ndata: {"count":2}\n\n'))
   */
  receive (chunk: Uint8Array): ServerEvent[] {
    const parts = (this.#rest + this.#decoder.decode(chunk, { stream: true })).split('\n\n')
    this.#rest = parts.pop() ?? ''
    if (this.#rest.length > maxEventBytes) throw new Error(`a server-sent event is longer than ${maxEventBytes} bytes`)
    return parts.flatMap(part => parseEvent(part) ?? [])
  }
}

function parseEvent (part: string): ServerEvent | undefined {
  const lines = part.split('\n')
  const name = lines.find(line => line.startsWith('event: '))?.slice('event: '.length) ?? 'message'
  const data = lines.filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length))
  return data.length === 0 ? undefined : { name, data: data.join('\n') }
}
