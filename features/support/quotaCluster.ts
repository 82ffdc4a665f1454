/** Hosts that keep quotas together on a virtual clock: a network and a table of hosts that fail as a history says. */
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { Clock, Timer } from '../../src/ports/clock.js'
import { hostMessageSchema } from '../../src/schemas/datagram.js'
import type { QuotaMessage } from '../../src/schemas/datagram.js'
import type { ClientAccount } from '../../src/schemas/routing.js'
import { QuotaTask } from '../../src/tasks/quota/quotaTask.js'

export const quotaBounds = Object.freeze({ windowMs: 8000, overrunRatio: 0.1, tolerance: 110_000 })

export interface QuotaNode {
  readonly host: string
  readonly address: string
  session: string
  task: QuotaTask | undefined
  isFrozen: boolean
  /** Hosts with different numbers do not reach each other; those of 0 alone reach the store. */
  island: number
  viewAtMs: number
  viewVersion: number
  view: Map<string, string>
  lastRenewalAtMs: number
  held: (() => void)[]
  accounts: readonly ClientAccount[]
}

interface Event { atMs: number, account: string, cost: number, isSpent: boolean }

/** Hosts without a renewal for this long are removed from the table. */
const removalMs = 3000
const tableIntervalMs = 100
const maxTableLagMs = 600
const messageCheck = TypeCompiler.Compile(hostMessageSchema)

export class QuotaCluster {
  readonly clock = new VirtualClock()
  readonly nodes: QuotaNode[] = []
  readonly events: Event[] = []
  messages = 0
  /** Messages that their receivers dropped, as they have no valid form. */
  unreadableMessages = 0
  lossRate = 0
  isStoreAvailable = true
  random: () => number
  #accounts: readonly ClientAccount[]
  #table = new Map<string, string>()
  #version = 1
  #sessions = 0

  constructor (count: number, accounts: readonly ClientAccount[], random: () => number) {
    this.random = random
    this.#accounts = accounts
    for (let index = 0; index < count; index++) {
      const node: QuotaNode = { host: `host-${index}`, address: `10.0.${index >> 8}.${index & 255}`, session: '', task: undefined, isFrozen: false, island: 0, viewAtMs: 0, viewVersion: 0, view: new Map(), lastRenewalAtMs: 0, held: [], accounts }
      this.nodes.push(node)
      node.session = `s${this.#sessions++}`
      this.#table.set(node.host, node.session)
    }
    for (const node of this.nodes) this.start(node)
    this.#runTable()
  }

  start (node: QuotaNode): void {
    node.session = `s${this.#sessions++}`
    const { session } = node
    node.task = new QuotaTask({
      clock: this.#createClock(node, session),
      log: { record: () => {} },
      own: { host: node.host, address: node.address, session },
      bounds: quotaBounds,
      listAccounts: () => node.accounts,
      findOwnSession: () => node.view.get(node.host),
      listHosts: () => [...node.view].map(([host, known]) => ({ host, address: this.#findNode(host).address, session: known, isLeaving: false })),
      getViewAgeMs: () => this.clock.readMonotonic() - node.viewAtMs,
      getOutageShare: () => this.#findOutageShare(node),
      send: (address, message) => this.#send(node, address, message),
      meter: {
        recordSpent: (account, cost) => this.#record(account, cost, true),
        recordReturned: (account, cost) => this.#record(account, -cost, true),
        recordRefused: (account, cost) => this.#record(account, cost, false)
      },
      random: this.random
    })
    // A host reads the table, with the row of its former process, before it writes its own row.
    this.#readTable(node)
    this.#register(node)
    this.#readTable(node)
    node.accounts = this.#accounts
    node.task.applyAccounts()
  }

  kill (node: QuotaNode): void {
    node.task?.stop()
    node.task = undefined
    node.held = []
  }

  resume (node: QuotaNode): void {
    node.isFrozen = false
    for (const run of node.held.splice(0)) run()
  }

  setAccounts (accounts: readonly ClientAccount[]): void {
    this.#accounts = accounts
    for (const node of this.nodes) {
      this.clock.setTimer(() => {
        node.accounts = accounts
        node.task?.applyAccounts()
      }, this.random() * 3000)
    }
  }

  /** Sends requests of an account to random hosts, at a rate in tokens per second, until a time. */
  sendRequests (account: ClientAccount, readRate: () => number, drawCost: () => number, untilMs: number): void {
    const sendNext = (): void => {
      if (this.clock.readMonotonic() >= untilMs) return
      const cost = drawCost()
      const node = this.nodes[Math.floor(this.random() * this.nodes.length)]!
      if (node.task && !node.isFrozen) node.task.charge(account, { promptTokens: cost, maxTokens: 0, hasTokenCounts: true })
      this.clock.setTimer(sendNext, -Math.log(1 - this.random()) * cost * 1000 / readRate())
    }
    sendNext()
  }

  /** The most that an account spent in any window that begins at or after a time. */
  computeMaxSpent (account: string, fromMs = 0): number {
    const spent = this.events.filter(event => event.isSpent && event.account === account && event.atMs >= fromMs)
    let [sum, highest, first] = [0, 0, 0]
    for (const { atMs, cost } of spent) {
      sum += cost
      while (spent[first]!.atMs <= atMs - quotaBounds.windowMs) sum -= spent[first++]!.cost
      highest = Math.max(highest, sum)
    }
    return highest
  }

  sum (account: string, isSpent: boolean, fromMs: number, untilMs: number): number {
    return this.events.reduce((sum, event) => sum + (event.account === account && event.isSpent === isSpent && event.atMs >= fromMs && event.atMs < untilMs ? event.cost : 0), 0)
  }

  #record (account: string, cost: number, isSpent: boolean): void {
    this.events.push({ atMs: this.clock.readMonotonic(), account, cost, isSpent })
  }

  #findNode (host: string): QuotaNode {
    return this.nodes[Number(host.slice('host-'.length))]!
  }

  /** As hosts find it by asking each other: only if all that they reach lack the store, and these are a majority. */
  #findOutageShare (node: QuotaNode): number | undefined {
    if (this.#canReachStore(node) || this.clock.readMonotonic() - node.viewAtMs < 1800) return undefined
    const reached = this.nodes.filter(({ task, island, host }) => task && island === node.island && node.view.has(host)).length
    return reached > node.view.size / 2 ? reached / node.view.size : undefined
  }

  #canReachStore (node: QuotaNode): boolean {
    return this.isStoreAvailable && node.island === 0
  }

  #createClock (node: QuotaNode, session: string): Clock {
    const hold = (run: () => void): void => {
      if (node.session !== session || !node.task) return
      if (node.isFrozen) node.held.push(() => { if (node.session === session) run() })
      else run()
    }
    return {
      readMonotonic: this.clock.readMonotonic,
      readWall: this.clock.readWall,
      setTimer: (run, delayMs): Timer => {
        let isCancelled = false
        const timer = this.clock.setTimer(() => hold(() => { if (!isCancelled) run() }), delayMs)
        return { cancel: () => { isCancelled = true; timer.cancel() } }
      }
    }
  }

  #send (sender: QuotaNode, address: string, message: QuotaMessage): void {
    this.messages++
    const target = this.nodes.find(node => node.address === address)!
    if (sender.island !== target.island || this.random() < this.lossRate) return
    const from = { host: sender.host, session: sender.session, address: sender.address }
    const copy = structuredClone(message)
    if (!messageCheck.Check(copy)) {
      this.unreadableMessages++
      return
    }
    this.clock.setTimer(() => {
      const deliver = (): void => target.task?.receiveMessage(copy, from)
      if (target.isFrozen) target.held.push(deliver)
      else deliver()
    }, 1 + this.random() * (this.random() < 0.02 ? 100 : 2))
  }

  #register (node: QuotaNode): void {
    node.lastRenewalAtMs = this.clock.readMonotonic()
    if (!this.#canReachStore(node) || this.#table.get(node.host) === node.session) return
    this.#table.set(node.host, node.session)
    this.#version++
  }

  #readTable (node: QuotaNode): void {
    if (!this.#canReachStore(node)) return
    node.viewAtMs = this.clock.readMonotonic()
    if (node.viewVersion === this.#version) return
    node.viewVersion = this.#version
    node.view = new Map(this.#table)
    node.task?.applyHosts()
  }

  #runTable (): void {
    const nowMs = this.clock.readMonotonic()
    const isRunning = (node: QuotaNode): boolean => node.task !== undefined && !node.isFrozen
    for (const node of this.nodes) if (isRunning(node) && this.#canReachStore(node)) this.#register(node)
    for (const node of this.nodes) {
      if (!this.isStoreAvailable || nowMs - node.lastRenewalAtMs < removalMs || !this.#table.delete(node.host)) continue
      this.#version++
    }
    for (const node of this.nodes) if (isRunning(node) && this.random() < tableIntervalMs * 2 / maxTableLagMs) this.#readTable(node)
    this.clock.setTimer(() => this.#runTable(), tableIntervalMs)
  }
}
