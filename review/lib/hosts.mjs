/** Host processes, started with the command of the deploy file on loopback addresses of their own. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))
const portCount = 4

/** The bounds of the deployment `bluemahoe-ops`. */
const bounds = {
  seedLagS: 3, addressReuseS: 2, stabilityWindowMs: 3000, acknowledgeMs: 4000, catchUpS: 4, drainMs: 2000, gracePeriodS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, partitionBoundMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 54, recoveryS: 12, passMs: 120, retryAfterS: 0, fencingEnforced: false, leaseMs: 3000, thawMs: 300, ceilingWindowS: 5, originRateOverrun: 1.1, version_ms: 5000
}

export class Hosts {
  #directory = mkdtempSync(join(tmpdir(), 'sedgevalve-review-'))
  #network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
  #basePort
  #children = new Map()
  /** When each host last answered on its readiness port. */
  #answeredAtMs = new Map()
  #storeAddress
  #logDirectory = process.env.LOGS
  /** Ends of processes, the expected ones too. */
  ends = []
  #seedIndexes

  constructor () {
    // Also where the script fails or is ended: no process and no file of it is left.
    process.on('exit', () => {
      for (const { child } of this.#children.values()) child.kill('SIGKILL')
      rmSync(this.#directory, { recursive: true, force: true })
    })
  }

  /** `seedIndexes`: the machines that the settings name as seeds; those that never start are stale. */
  static async create (storeAddress, seedIndexes = [1, 2, 3]) {
    const hosts = new Hosts()
    hosts.#storeAddress = storeAddress
    hosts.#seedIndexes = seedIndexes
    hosts.#basePort = await findFreePorts(`${hosts.#network}.1`)
    return hosts
  }

  address (index) {
    return `${this.#network}.${index}`
  }

  callersAddress (index) {
    return `${this.address(index)}:${this.#basePort}`
  }

  start (index) {
    const file = join(this.#directory, `host-${index}.json`)
    writeFileSync(file, JSON.stringify(this.#createSettings(index)))
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const log = this.#logDirectory === undefined ? 'ignore' : openSync(join(this.#logDirectory, `host-${index}.log`), 'a')
    const child = spawn(run[0] === 'node' ? process.execPath : run[0], run.slice(1), { cwd: root, env: { PATH: process.env.PATH, HOME: this.#directory, SEDGEVALVE_SETTINGS: file }, stdio: ['ignore', log, log] })
    if (log !== 'ignore') closeSync(log)
    const ended = new Promise(resolve => child.once('exit', (code, signal) => {
      this.ends.push({ host: `host-${index}`, code, signal, atMs: performance.now() })
      if (this.#children.get(index)?.child === child) this.#children.delete(index)
      resolve()
    }))
    this.#children.set(index, { child, ended })
  }

  pid (index) {
    return this.#children.get(index)?.child.pid
  }

  isRunning (index) {
    return this.#children.has(index)
  }

  signal (index, signal) {
    this.#children.get(index)?.child.kill(signal)
  }

  async waitForEnd (index) {
    await this.#children.get(index)?.ended
  }

  async waitUntilReady (index, withinMs = 15_000) {
    const deadlineMs = performance.now() + withinMs
    while (performance.now() < deadlineMs) {
      if (await this.isReady(index)) return true
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    return false
  }

  async isReady (index) {
    return await new Promise(resolve => {
      const call = request({ host: this.address(index), port: this.#basePort + 1, path: '/sedgevalve/readiness', timeout: 500 }, response => {
        response.resume()
        this.#answeredAtMs.set(index, performance.now())
        resolve(response.statusCode === 200)
      })
      call.on('timeout', () => call.destroy())
      call.on('error', () => resolve(false))
      call.end()
    })
  }

  lastAnswerAtMs (index) {
    return this.#answeredAtMs.get(index) ?? -Infinity
  }

  async stop () {
    const ended = [...this.#children.values()].map(({ child, ended }) => {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      return ended
    })
    await Promise.all(ended)
    rmSync(this.#directory, { recursive: true, force: true })
  }

  #createSettings (index) {
    const address = this.address(index)
    const zones = ['a', 'b']
    return {
      nodeName: `host-${index}`,
      role: 'host',
      machineClass: 'frontend',
      serves: ['frontend', 'control_plane'],
      ipAddress: address,
      zone: zones[(index - 1) % 2],
      region: 'r',
      zones: { a: 'r', b: 'r' },
      listenAddresses: { frontend: `${address}:${this.#basePort}`, ready: `${address}:${this.#basePort + 1}`, controlPlane: `${address}:${this.#basePort + 2}` },
      internalPortRange: [this.#basePort + 3, this.#basePort + 18],
      seedNodes: this.#seedIndexes.map(seed => `${this.address(seed)}:${this.#basePort + 2}`),
      bootstrap: true,
      faultCounted: false,
      limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, fileDescriptors: 4100, linkMbps: 1000, diskMb: 0 },
      dataDirectory: null,
      discovery: 'platform',
      entry: 'virtual_ip',
      heartbeatIntervalMs: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'],
      faultTolerance: { machines: 2, zones: 0, regions: 0 },
      bounds,
      platform: { address: this.#storeAddress, form: 'table', writesPerS: 400, readsPerS: 2000, txMs: 5, partWritesPerS: 200, rowBytes: 65_536, across: false, historyS: 20, blobBytes: 8_388_608, blobMs: 25, blobMbPerS: 80 }
    }
  }
}

async function findFreePorts (address) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 2000) * 20
    const results = await Promise.all(Array.from({ length: portCount }, async (_, offset) => await new Promise(resolve => {
      const server = createServer()
      server.once('error', () => resolve(false))
      server.listen(port + offset, address, () => server.close(() => resolve(true)))
    })))
    if (results.every(Boolean)) return port
  }
}
