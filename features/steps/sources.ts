/** Steps that read the project's own sources. */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { Then, When } from '@cucumber/cucumber'
import { wireHeaders, wirePaths } from '../../src/platform/wireNames.js'

interface SourcesWorld {
  /** Text of each source by its path. */
  sources: Map<string, string>
}

/** Names that are also those of HTTP, or ordinary words. */
const commonNames = new Set(['model', 'retry-after', 'last-event-id'])
/** Headers whose names are verbs as well, and how code would refer to them. */
const verbNames = new Set(['resumes'])
const verbPattern = /['"`]Resumes['"`]|\.resumes\b|\[['"`]resumes['"`]\]/
/** Fields of the platform's bodies that are no words of ours. */
const wireFields = [
  'coldRemainingMs', 'adapterSlotCount', 'kvCacheTokens', 'kvCacheUsed', 'trafficSplit', 'routeKind', 'targetLatencyMs', 'targetGapMs', 'fencingToken', 'retryBudgetRatio', 'loadsPerS', 'remainingMs'
]

function listFiles (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(file => file.endsWith('.ts')).map(file => join(folder, file))
}

/** Values that a file imports, types aside, as these are gone at run time. */
function listImports (file: string, text: string): string[] {
  return [...text.matchAll(/^import (?!type )[^'"]*from '(\.[^']+)\.js'/gm)].map(match => join(dirname(file), `${match[1]!}.ts`))
}

function findCircle (graph: ReadonlyMap<string, string[]>): string[] | undefined {
  const done = new Set<string>()
  const visit = (file: string, path: string[]): string[] | undefined => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file]
    if (done.has(file)) return undefined
    for (const next of graph.get(file) ?? []) {
      const circle = visit(next, [...path, file])
      if (circle) return circle
    }
    done.add(file)
    return undefined
  }
  for (const file of graph.keys()) {
    const circle = visit(file, [])
    if (circle) return circle
  }
  return undefined
}

/** Matches any of the names where it stands by itself. */
function createPattern (names: readonly string[], flags: string): RegExp {
  return new RegExp(names.map(name => `(?<![\\w-])${name}(?![\\w-])`).join('|'), flags)
}

When('the sources are read', function (this: SourcesWorld) {
  this.sources = new Map(listFiles('src').map(file => [file, readFileSync(file, 'utf8')]))
  assert.ok(this.sources.size > 100)
})

Then('no imports go in a circle', function (this: SourcesWorld) {
  const circle = findCircle(new Map([...this.sources].map(([file, text]) => [file, listImports(file, text)])))
  assert.equal(circle, undefined, circle?.join(' -> '))
})

Then('no source outside {string} names a header, call or field of the platform', function (this: SourcesWorld, folder: string) {
  const headers = Object.values(wireHeaders).filter(name => !commonNames.has(name) && !verbNames.has(name))
  const patterns = [createPattern([...headers, ...Object.values(wirePaths)], 'i'), createPattern(wireFields, ''), verbPattern]
  const found = [...this.sources].filter(([file]) => !file.startsWith(folder))
    .flatMap(([file, text]) => patterns.flatMap(pattern => pattern.exec(text)?.[0] ?? []).map(name => `${file}: ${name}`))
  assert.deepEqual(found, [])
})
