/** `GET /`: the live page, one file that is read from the source tree. */
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { FastifyInstance } from 'fastify'

/** From `dist/src/tasks/operators` to the committed file. */
const pageUrl = new URL('../../../../src/tasks/operators/page/livePage.html', import.meta.url)

/** Adds the page, which holds no data and asks for an operator's key; it loads nothing from other hosts. */
export function addPageRoute (server: FastifyInstance): void {
  const page = readFileSync(pageUrl, 'utf8')
  const policy = renderPolicy(page)
  server.get('/', async (_request, reply) => {
    return await reply
      .type('text/html; charset=utf-8')
      .header('content-security-policy', policy)
      .header('x-content-type-options', 'nosniff')
      .header('referrer-policy', 'no-referrer')
      .send(page)
  })
}

/** Allows the page's own script and style by their hashes, and calls to its own port alone. */
function renderPolicy (page: string): string {
  const script = hashElement(page, 'script')
  const style = hashElement(page, 'style')
  return `default-src 'none'; script-src ${script}; style-src ${style}; connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'`
}

function hashElement (page: string, name: string): string {
  const content = new RegExp(`<${name}>([\\s\\S]*?)</${name}>`).exec(page)?.[1] ?? ''
  return `'sha256-${createHash('sha256').update(content).digest('base64')}'`
}
