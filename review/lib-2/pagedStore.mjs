/**
 * A stand-in of the platform's store that answers as the users' pages say: at most 500 rows a read, each answer after 4 ms, and a history
 * that it may discard.
 */
import { createServer } from 'node:http'
import { decodeTransaction, encodeStoreRow, encodeTransactionOutcome } from '../../dist/src/platform/standinWire.js'
import { wirePaths } from '../../dist/src/platform/wireNames.js'

const answerMs = 4
const maxRows = 500

export class PagedStore {
  #rows
  #server
  /** Feeds that wait for a change: functions that answer them. */
  #feeds = new Set()
  /** Whether feeds hear nothing. */
  #isQuiet = false
  address = ''
  /** Called with each read: the table, its first key, the number of rows and the store's version. */
  receiveRead = () => {}

  #rewrite
  /** Whether calls get no answer, as the link of the host that this server is for is cut. */
  isCut = false

  /** `rewrite`: returns a row as the host that this server is for gets it; several servers may share the rows. */
  constructor (rows, rewrite = row => row) {
    this.#rows = rows
    this.#rewrite = rewrite
    this.#server = createServer((request, response) => {
      this.#receive(request, response).catch(() => {
        // The host has ended while it sent its call.
        response.destroy()
      })
    })
  }

  async start () {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    const { address, port } = this.#server.address()
    this.address = `${address}:${port}`
  }

  /** Feeds hear nothing for a while; then the history before is dropped and they are cut. */
  async compact (quietMs) {
    this.#isQuiet = true
    await new Promise(resolve => setTimeout(resolve, quietMs))
    this.#rows.forgetHistory()
    this.#isQuiet = false
    for (const answer of [...this.#feeds]) answer()
  }

  async stop () {
    this.#server.closeAllConnections()
    await new Promise(resolve => this.#server.close(resolve))
  }

  async #receive (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    await new Promise(resolve => setTimeout(resolve, answerMs))
    if (this.isCut) return
    const url = new URL(request.url, 'http://store')
    const table = url.searchParams.get('table') ?? ''
    if (url.pathname === wirePaths.readRows) this.#read(table, url.searchParams, response)
    else if (url.pathname === wirePaths.followRows) this.#follow(table, Number(url.searchParams.get('after')), Number(url.searchParams.get('waitMs')), response)
    else if (url.pathname === wirePaths.transact) {
      const outcome = this.#rows.transact(decodeTransaction(Buffer.concat(chunks).toString('utf8')))
      const seen = outcome.verdict === 'conflict' ? { ...outcome, rows: outcome.rows.map(this.#rewrite) } : outcome
      const { status, body } = encodeTransactionOutcome(seen, this.#rows.version)
      send(response, status, body)
    } else response.writeHead(404).end()
  }

  #read (table, query, response) {
    const [from, target] = [query.get('from'), query.get('target')]
    const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows))
    const matching = this.#rows.listRows(table).filter(({ key }) => (from === null || key >= from) && (target === null || key < target))
    const rows = matching.slice(0, limit)
    this.receiveRead(table, from ?? '', rows.length, this.#rows.version)
    send(response, 200, JSON.stringify({ rows: rows.map(this.#rewrite).map(encodeStoreRow), hasMore: matching.length > limit, ver: this.#rows.version, nowMs: Math.round(performance.now()) }))
  }

  #follow (table, after, waitMs, response) {
    const answer = isLast => {
      if (this.#isQuiet || this.isCut || response.writableEnded || response.destroyed) return
      const rows = this.#rows.listChanges(table, after)
      if (rows?.length === 0 && !isLast) {
        this.#rows.waitForChange(() => answer(false))
        return
      }
      this.#feeds.delete(answer)
      clearTimeout(timer)
      if (rows) send(response, 200, JSON.stringify({ rows: rows.map(this.#rewrite).map(encodeStoreRow), ver: this.#rows.version, nowMs: Math.round(performance.now()) }))
      else response.writeHead(410).end()
    }
    const timer = setTimeout(() => answer(true), waitMs)
    response.on('close', () => this.#feeds.delete(answer))
    this.#feeds.add(answer)
    answer(false)
  }
}

function send (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(body)
}
