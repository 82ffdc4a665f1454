/** Starts an example deployment as real processes and measures what each costs. */
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { readSettings } from '../../src/settings/readSettings.js'
import { gatewaySettingsSchema, standinSettingsSchema } from '../../src/settings/settingsSchemas.js'
import type { StandinSettings } from '../../src/settings/settingsSchemas.js'
import { readProcessUse, startBinary } from '../path/childProcesses.js'
import type { BenchProcess } from '../path/childProcesses.js'

const startedAtOnce = 4
const readyPatterns: Record<string, RegExp> = { standin: /Stand-ins run/, scheduler: /takes links/, gateway: /takes callers/ }

export interface ExampleDeployment {
  name: string
  standin: StandinSettings
  /** `http://ip:port` of each gateway. */
  gatewayUrls: string[]
  /** `ip:port` of each engine and service. */
  engines: string[]
  services: string[]
  processes: BenchProcess[]
  stop: () => Promise<void>
}

/** Starts the stand-ins, then every scheduler and gateway of `examples/<name>`. */
export async function startExample (name: string): Promise<ExampleDeployment> {
  const folder = join('examples', name)
  const standin = readSettings(join(folder, 'standin.ini'), standinSettingsSchema)
  const files = readdirSync(folder).filter(file => file.endsWith('.ini') && file !== 'standin.ini').sort()
  const processes = [await startFile(folder, 'standin.ini')]
  for (let index = 0; index < files.length; index += startedAtOnce) {
    const group = files.slice(index, index + startedAtOnce)
    processes.push(...await Promise.all(group.map(async file => await startFile(folder, file))))
  }
  const gateways = files.filter(file => file.startsWith('gateway-'))
  return {
    name,
    standin,
    gatewayUrls: gateways.map(file => {
      const { callers } = readSettings(join(folder, file), gatewaySettingsSchema)
      return `http://${callers.address}:${callers.port}`
    }),
    engines: listAddresses(standin, standin.engines),
    services: listAddresses(standin, standin.services),
    processes,
    stop: async () => await Promise.all(processes.reverse().map(async child => await child.stop())).then(() => {})
  }
}

async function startFile (folder: string, file: string): Promise<BenchProcess> {
  const binary = file.replace(/[-.].*$/, '')
  const child = await startBinary(binary, readFileSync(join(folder, file), 'utf8'), readyPatterns[binary]!)
  return { ...child, name: file.replace('.ini', '') }
}

function listAddresses ({ platform }: StandinSettings, { firstPort, count }: { firstPort: number, count: number }): string[] {
  return Array.from({ length: count }, (_, index) => `${platform.address}:${firstPort + index}`)
}

/** What one process has used up to a moment. */
export interface Use {
  processorSeconds: number
  residentMegabytes: number
  writtenBytes: number
  readBytes: number
}

/** Reads the use of every process; bytes are those of all its sockets, and of its log. */
export function readUses (processes: BenchProcess[]): Use[] {
  return processes.map(({ pid }) => {
    const counts = readFileSync(`/proc/${pid}/io`, 'utf8')
    const readCount = (name: string): number => Number(new RegExp(`${name}: (\\d+)`).exec(counts)?.[1] ?? 0)
    return { ...readProcessUse(pid), writtenBytes: readCount('wchar'), readBytes: readCount('rchar') }
  })
}
