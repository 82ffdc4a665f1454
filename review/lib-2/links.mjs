/**
 * Links between hosts that can be cut: each host reaches each other one through an address of a proxy, which it finds in the rows of the store
 * in place of the other host's own address.
 */
import { createSocket } from 'node:dgram'
import { connect, createServer } from 'node:net'
import { hostsTable } from '../../dist/src/schemas/hostRows.js'

/** Hosts have addresses below this one. */
const firstProxy = 100

export class Links {
  #places
  #sockets = new Map()
  #servers = []
  #connections = new Set()
  #cut = new Set()

  /** `places`: of the hosts, the first one at 0. */
  constructor (places) {
    this.#places = places
  }

  #formatAddress (from, to) {
    return `${this.#places[0].network}.${firstProxy + 10 * from + to}`
  }

  async open () {
    const indexes = this.#places.map((_, index) => index + 1)
    for (const from of indexes) for (const to of indexes) if (from !== to) await this.#openLink(from, to)
  }

  async #openLink (from, to) {
    const { messagesPort, relayPort } = this.#places[0]
    const address = this.#formatAddress(from, to)
    const socket = createSocket('udp4')
    await new Promise(resolve => socket.bind(messagesPort, address, resolve))
    socket.on('message', bytes => {
      if (!this.#isCut(from, to)) this.#sockets.get(`${to} ${from}`).send(bytes, messagesPort, this.#places[to - 1].address)
    })
    socket.on('error', () => {})
    this.#sockets.set(`${from} ${to}`, socket)
    for (const port of [relayPort, messagesPort]) {
      const server = createServer(near => {
        const far = connect(port, this.#places[to - 1].address)
        this.#connections.add(near).add(far)
        const pass = target => bytes => { if (!this.#isCut(from, to)) target.write(bytes) }
        near.on('data', pass(far)).on('error', () => {}).on('close', () => far.destroy())
        far.on('data', pass(near)).on('error', () => {}).on('close', () => near.destroy())
      })
      await new Promise(resolve => server.listen(port, address, resolve))
      this.#servers.push(server)
    }
  }

  #isCut (from, to) {
    return this.#cut.has(`${Math.min(from, to)} ${Math.max(from, to)}`)
  }

  /** From now on nothing passes between two hosts. */
  cut (one, other) {
    this.#cut.add(`${Math.min(one, other)} ${Math.max(one, other)}`)
  }

  /** From now on everything passes again. */
  heal () {
    this.#cut.clear()
  }

  /** Returns a row of the store as host `reader` gets it. */
  rewrite (reader, row) {
    if (row.table !== hostsTable || row.value === undefined) return row
    const content = JSON.parse(Buffer.from(row.value).toString('utf8'))
    const host = this.#places.findIndex(({ address }) => address === content.address) + 1
    if (host === 0 || host === reader) return row
    return { ...row, value: Buffer.from(JSON.stringify({ ...content, address: this.#formatAddress(reader, host) })) }
  }

  close () {
    for (const socket of this.#sockets.values()) socket.close()
    for (const connection of this.#connections) connection.destroy()
    for (const server of this.#servers) server.close()
  }
}
