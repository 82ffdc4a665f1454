/** Serves a stand-in of the store over HTTP, with faults that tests switch on. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { decodeTransaction, encodeTransactionOutcome, encodeStoreRows } from '../../platform/standinWire.js'
import { wireHeaders, wirePaths } from '../../platform/wireNames.js'
import type { RowStore } from './rowStore.js'

/** `silent`: takes calls and answers none; `busy`: 503; `reset`: closes connections; `lost`: writes are done and not answered; `unwritable`: writes get 503. */
export type StoreFault = 'none' | 'silent' | 'busy' | 'reset' | 'lost' | 'unwritable'

export interface StoreServer {
  readonly address: string
  setFault: (fault: StoreFault) => void
  /** Calls answered or refused since the start. */
  readonly calls: number
  stop: () => Promise<void>
}

/** Starts a server on `ip:port`; port 0 takes a free one. */
export async function startStoreServer (store: RowStore, listenAddress: string): Promise<StoreServer> {
  let fault: StoreFault = 'none'
  let calls = 0
  const server = createServer((request, response) => {
    calls++
    if (fault === 'silent') return
    if (fault === 'reset') {
      request.socket.resetAndDestroy()
      return
    }
    response.setHeader(wireHeaders.storeEra, store.era)
    if (fault === 'busy' || (fault === 'unwritable' && request.method === 'POST')) {
      response.writeHead(503).end()
      return
    }
    readBody(request).then(body => answerCall(store, request, body, response, fault === 'lost'))
  })
  const [host, port] = listenAddress.split(':')
  await new Promise<void>(resolve => server.listen(Number(port), host, resolve))
  const { address, port: boundPort } = server.address() as AddressInfo
  return {
    address: `${address}:${boundPort}`,
    setFault: next => {
      fault = next
      // A connection on which an answer was withheld delivers nothing further.
      if (next === 'none') server.closeAllConnections()
    },
    get calls () {
      return calls
    },
    stop: async () => {
      server.closeAllConnections()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function answerCall (store: RowStore, request: IncomingMessage, body: string, response: ServerResponse, losesWrites: boolean): void {
  const url = new URL(request.url ?? '/', 'http://store')
  const table = url.searchParams.get('table') ?? ''
  if (url.pathname === wirePaths.readRows) {
    const [from, target] = [url.searchParams.get('from'), url.searchParams.get('target')]
    const rows = store.listRows(table).filter(({ key }) => (from === null || key >= from) && (target === null || key < target))
    sendJson(response, 200, encodeStoreRows(rows, store.version))
  } else if (url.pathname === wirePaths.followRows) {
    followTable(store, table, Number(url.searchParams.get('after')), Number(url.searchParams.get('waitMs')), response)
  } else if (url.pathname === wirePaths.transact) {
    const outcome = encodeTransactionOutcome(store.transact(decodeTransaction(body)), store.version)
    if (losesWrites) request.socket.resetAndDestroy()
    else sendJson(response, outcome.status, outcome.body)
  } else {
    response.writeHead(404).end()
  }
}

function followTable (store: RowStore, table: string, after: number, waitMs: number, response: ServerResponse): void {
  const { era } = store
  let isAnswered = false
  const answer = (isLast: boolean): void => {
    if (isAnswered || response.destroyed || store.era !== era) return
    const rows = store.listChanges(table, after)
    if (rows?.length === 0 && !isLast) {
      store.waitForChange(() => answer(false))
      return
    }
    isAnswered = true
    clearTimeout(timer)
    if (rows) sendJson(response, 200, encodeStoreRows(rows, store.version))
    else response.writeHead(410).end()
  }
  const timer = setTimeout(() => answer(true), waitMs)
  answer(false)
}

function sendJson (response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(body)
}
