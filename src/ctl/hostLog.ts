/** Reads the log lines that hosts write: one JSON object a line, other text between them is passed over. */

export interface HostLogLine {
  /** Unix milliseconds on the host's own clock, for display. */
  time: number
  host: string
  kind: string
  message: string
  fields: Record<string, unknown>
}

const ownFields = new Set(['level', 'time', 'host', 'session', 'kind', 'message', 'upMs'])

/**
 * Parses the lines of a file; what is no line of a host is left out.
 *
 * @example
 * parseHostLog('{"time":1,"host":"front-1","kind":"request.refused","message":"…","requestId":"9c41"}')
 */
export function parseHostLog (text: string): HostLogLine[] {
  return text.split('\n').flatMap(line => parseLine(line) ?? [])
}

function parseLine (text: string): HostLogLine | undefined {
  // Collectors may put a time or a host's name before the object.
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const line = JSON.parse(text.slice(start)) as Record<string, unknown>
    if (typeof line.kind !== 'string' || typeof line.host !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(line).filter(([name]) => !ownFields.has(name)))
    return { time: Number(line.time ?? 0), host: line.host, kind: line.kind, message: String(line.message ?? ''), fields }
  } catch {
    // Another program's text; the caller wants hosts' lines alone.
    return undefined
  }
}

/** Lines that name a request, and those of the same time about the endpoints that it met. */
export function selectStory (lines: readonly HostLogLine[], requestId: string): HostLogLine[] {
  const own = lines.filter(line => line.fields.requestId === requestId)
  const first = own[0]
  const last = own.at(-1)
  if (!first || !last) return []
  const endpointIds = new Set(own.flatMap(({ fields }) => listEndpointIds(fields)))
  const startedAt = Math.min(...own.map(line => line.time - Number(line.fields.tookMs ?? 0)))
  const isNear = ({ time }: HostLogLine): boolean => time >= startedAt - beforeMs && time <= last.time + afterMs
  const story = lines.filter(line => own.includes(line) || (isNear(line) && isContext(line, endpointIds)))
  return dropEchoes(story.sort((left, right) => left.time - right.time))
}

/** Engines that a request ran on, and those whose owners it asked. */
function listEndpointIds ({ endpointId, tried, searches }: Record<string, unknown>): unknown[] {
  const answers = Array.isArray(searches) ? searches.flatMap(search => (search as { answers?: string[] }).answers ?? []) : []
  return [endpointId, ...(Array.isArray(tried) ? tried : []), ...answers.map(answer => answer.split(' ')[0])].filter(id => id !== undefined)
}

/** Every host tells of a change or a call that failed; the first of them is enough. */
function dropEchoes (story: HostLogLine[]): HostLogLine[] {
  const seen = new Set<string>()
  return story.filter(({ kind, fields }) => {
    if (!/\.(changed|applied|declared|\w+Failed)$/.test(kind)) return true
    const key = `${kind} ${JSON.stringify(fields)}`
    return !seen.has(key) && seen.add(key)
  })
}

/** Events that may explain a request came within this time before it, or showed this long after its end. */
const beforeMs = 1000
const afterMs = 400
const contextKinds = /^(engine\.|lease\.|owner\.|endpoint\.changed|store\.|peers\.|configuration\.applied|host\.)/

function isContext ({ kind, fields }: HostLogLine, endpointIds: ReadonlySet<unknown>): boolean {
  if (!contextKinds.test(kind)) return false
  return fields.endpointId === undefined ? /^(store|peers|configuration|host)\./.test(kind) : endpointIds.has(fields.endpointId)
}

export interface CauseCount {
  kind: string
  cause: string
  count: number
  /** One request as an example. */
  requestId: string
}

/** Counts requests that were not served, by outcome and cause; numbers and names are taken out of the causes. */
export function countCauses (lines: readonly HostLogLine[]): CauseCount[] {
  const counts = new Map<string, CauseCount>()
  for (const { kind, fields } of lines) {
    if (!/^request\.(refused|failed|broken)$/.test(kind)) continue
    const cause = `${String(fields.code ?? '')}: ${generalize(String(fields.reason ?? ''))}`
    const entry = counts.get(`${kind} ${cause}`) ?? { kind, cause, count: 0, requestId: String(fields.requestId ?? '') }
    entry.count++
    counts.set(`${kind} ${cause}`, entry)
  }
  return [...counts.values()].sort((left, right) => right.count - left.count)
}

function generalize (reason: string): string {
  return reason.replace(/"[^"]*"/g, '"…"').replace(/\d+/g, 'N')
}
