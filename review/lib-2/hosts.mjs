/** Starts hosts as separate processes with the command of the deploy file, each on a loopback address of its own. */
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { encodeHostSettings } from '../../dist/src/platform/hostSettings.js'
import { createHostSettings } from '../../dist/src/standin/fleet/hostSettings.js'

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
/** The bounds of the small deployments, in milliseconds where they are times. */
const smallDeployment = Object.freeze({ heartbeatMs: 1200, drainMs: 2000, shutdownMs: 8000, configurationMs: 2000, retryShare: 0.2, retryExtra: 54, retryWindowMs: 10_000, leaseMs: 3000, versionMs: 5000, memoryMb: 350, maxDescriptors: 4100 })
const startTimeoutMs = 15_000

export const wait = async ms => await new Promise(resolve => setTimeout(resolve, ms))

function readCommand () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  return run[1].split(' ')
}

/** Returns the first of five ports that are free on an address. */
async function findFreePorts (address) {
  const isFree = async port => await new Promise(resolve => {
    const server = createServer()
    server.on('error', () => resolve(false))
    server.listen(port, address, () => server.close(() => resolve(true)))
  })
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const free = await Promise.all([0, 1, 2, 3].map(async offset => await isFree(first + offset)))
    if (free.every(Boolean)) return first
  }
}

export class Hosts {
  #folder = mkdtempSync(join(tmpdir(), 'sedgevalve-review-'))
  #network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`
  #storeAddress
  #basePort
  list = []

  /** `storeAddress`: `ip:port`, or a function that returns it for the index of a host. */
  constructor (storeAddress) {
    this.#storeAddress = typeof storeAddress === 'function' ? storeAddress : () => storeAddress
  }

  /** Draws the ports of all hosts; returns the address and ports of host `index`. */
  async findPlace (index) {
    this.#basePort ??= await findFreePorts(`${this.#network}.1`)
    return { network: this.#network, address: `${this.#network}.${index}`, relayPort: this.#basePort + 2, messagesPort: this.#basePort + 3 }
  }

  /** Starts host `index`, from 1; the same index starts another process of the same host. */
  async start (index, changes = {}) {
    this.#basePort ??= await findFreePorts(`${this.#network}.1`)
    const settings = createHostSettings({ index, network: this.#network, basePort: this.#basePort, storeAddress: this.#storeAddress(index) }, { ...smallDeployment, ...changes })
    const file = join(this.#folder, `host-${index}.json`)
    const output = join(this.#folder, `host-${index}.log`)
    writeFileSync(file, encodeHostSettings(settings))
    const [program, ...words] = readCommand()
    const log = openSync(output, 'a')
    const child = spawn(program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, SEDGEVALVE_SETTINGS: file }, stdio: ['ignore', log, log] })
    closeSync(log)
    const host = { index, settings, child, output, hasExited: false, exit: undefined, ended: undefined }
    host.ended = new Promise(resolve => child.on('exit', (code, signal) => {
      host.hasExited = true
      host.exit = { code, signal, atMs: performance.now() }
      resolve()
    }))
    this.list.push(host)
    return host
  }

  async waitUntilReady (host) {
    const startedAtMs = performance.now()
    while (performance.now() - startedAtMs < startTimeoutMs) {
      if (host.hasExited) break
      const isReady = await fetch(`http://${host.settings.readinessAddress}/sedgevalve/readiness`, { signal: AbortSignal.timeout(1000) }).then(({ status }) => status === 200, () => false)
      if (isReady) return
      await wait(50)
    }
    throw new Error(`host ${host.index} did not become ready`)
  }

  /** Lines of a host's log as objects; those that are not JSON are left out. */
  readLog (host) {
    return readFileSync(host.output, 'utf8').split('\n').flatMap(line => {
      try {
        return [JSON.parse(line)]
      } catch {
        return []
      }
    })
  }

  /** Ends all processes that were started. */
  async stop () {
    for (const { child, hasExited } of this.list) {
      if (hasExited) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(this.list.map(async host => await host.ended))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}
