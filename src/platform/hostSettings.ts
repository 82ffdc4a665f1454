/** Reads the settings file that the platform writes for each process: JSON, generated from this project's template. */
import { readFileSync } from 'node:fs'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { Clock } from '../ports/clock.js'
import type { HostSettings, QuotaBounds } from '../schemas/hostSettings.js'
import { createSettingsError } from '../settings/settingsError.js'
import { waitForRetry } from '../waitForRetry.js'
import { writeToStderr } from '../writeToStderr.js'

/** Environment variable with the path of the settings file. */
export const settingsFileVariable = 'SEDGEVALVE_SETTINGS'
const defaultSettingsFile = '/etc/sedgevalve/settings.yaml'

const settingsFileSchema = Type.Object({
  nodeName: Type.String(),
  ipAddress: Type.String(),
  zone: Type.String(),
  listenAddresses: Type.Object({
    frontend: Type.String(),
    ready: Type.String(),
    controlPlane: Type.String()
  }),
  internalPortRange: Type.Array(Type.Integer(), { minItems: 2 }),
  seedNodes: Type.Array(Type.String()),
  limits: Type.Object({
    memoryMb: Type.Number(),
    fileDescriptors: Type.Number(),
    cpuShare: Type.Optional(Type.Number())
  }),
  heartbeatIntervalMs: Type.Number(),
  bounds: Type.Object({
    drainMs: Type.Number(),
    gracePeriodS: Type.Number(),
    configApplyMs: Type.Number(),
    retryBudgetRatio: Type.Number(),
    budgetWindowS: Type.Number(),
    retryBudgetExtra: Type.Number(),
    leaseMs: Type.Number(),
    passMs: Type.Number(),
    version_ms: Type.Optional(Type.Number()),
    ceilingWindowS: Type.Optional(Type.Number()),
    originRateOverrun: Type.Optional(Type.Number()),
    quotaWindowS: Type.Optional(Type.Number()),
    quotaOverrun: Type.Optional(Type.Number()),
    quotaTolerance: Type.Optional(Type.Number())
  }),
  platform: Type.Object({ address: Type.String() })
})

const settingsValidator = TypeCompiler.Compile(settingsFileSchema)

/** Time limit for the switch to a new adapter version if the settings contain none; both deployments use this value. */
const defaultVersionMs = 5000
/** Hosts do not read this field; both deployments use this value. */
const defaultPassMs = 120

/** Interval between two attempts to read a file that is being replaced, and the time after which the file itself is taken for wrong. */
const [rereadMs, maxRereadMs] = [50, 2000]

/** What a file contains, or why that could not be read. */
type FileReading = { content: unknown } | { problem: string }

/**
 * Reads the settings of this process. Throws an error of the settings that names the first invalid field.
 *
 * @example
 * readHostSettings().hostName // 'frontend-sala-unu-1'
 */
export function readHostSettings (file = findSettingsFile()): HostSettings {
  return decodeReading(file, readJson(file))
}

/**
 * Reads the settings of a process that starts, at which moment the platform may replace the file: one that cannot be read, or is not whole,
 * is read again for up to 2 s. Rejects as `readHostSettings` throws, or with the signal's reason once the signal has ended the wait.
 *
 * @example
 * const settings = await waitForHostSettings(createSystemClock(), stopSignal)
 */
export async function waitForHostSettings (clock: Clock, signal: AbortSignal, file = findSettingsFile()): Promise<HostSettings> {
  const startedAtMs = clock.readMonotonic()
  let reading = readJson(file)
  if ('problem' in reading) writeToStderr(`sedgevalve-host: ${reading.problem}; it is read again for up to ${maxRereadMs} ms\n`)
  while ('problem' in reading && clock.readMonotonic() - startedAtMs < maxRereadMs) {
    await waitForRetry(clock, rereadMs, signal)
    reading = readJson(file)
  }
  return decodeReading(file, reading)
}

function findSettingsFile (): string {
  return process.env[settingsFileVariable] ?? defaultSettingsFile
}

function readJson (file: string): FileReading {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { problem: `the settings file "${file}" cannot be read (${(error as NodeJS.ErrnoException).code})` }
  }
  try {
    return { content: JSON.parse(text) }
  } catch (error) {
    return { problem: `the settings file "${file}" is not valid JSON: ${(error as Error).message}` }
  }
}

function decodeReading (file: string, reading: FileReading): HostSettings {
  if ('problem' in reading) throw createSettingsError(reading.problem)
  return decodeSettings(validateSettings(file, reading.content))
}

function validateSettings (file: string, settings: unknown): Static<typeof settingsFileSchema> {
  if (settingsValidator.Check(settings)) return settings
  const error = settingsValidator.Errors(settings).First()
  throw createSettingsError(`the settings file "${file}" is invalid at "${error?.path}": ${error?.message}`)
}

function decodeSettings (file: Static<typeof settingsFileSchema>): HostSettings {
  const { bounds, listenAddresses } = file
  return Object.freeze({
    hostName: file.nodeName,
    address: file.ipAddress,
    zone: file.zone,
    callersAddress: listenAddresses.frontend,
    readinessAddress: listenAddresses.ready,
    peersAddress: listenAddresses.controlPlane,
    datagramPort: file.internalPortRange[0]!,
    seedAddresses: file.seedNodes,
    memoryMb: file.limits.memoryMb,
    maxDescriptors: file.limits.fileDescriptors,
    processorShare: file.limits.cpuShare,
    quotaBounds: decodeQuotaBounds(bounds),
    heartbeatMs: file.heartbeatIntervalMs,
    storeAddress: file.platform.address,
    drainMs: bounds.drainMs,
    shutdownMs: bounds.gracePeriodS * 1000,
    configurationMs: bounds.configApplyMs,
    retryShare: bounds.retryBudgetRatio,
    retryExtra: bounds.retryBudgetExtra,
    retryWindowMs: bounds.budgetWindowS * 1000,
    leaseMs: bounds.leaseMs,
    versionMs: bounds.version_ms ?? defaultVersionMs
  })
}

function decodeQuotaBounds ({ quotaWindowS, quotaOverrun = 0, quotaTolerance = 0 }: Static<typeof settingsFileSchema>['bounds']): QuotaBounds | undefined {
  return quotaWindowS === undefined ? undefined : { windowMs: quotaWindowS * 1000, overrunRatio: quotaOverrun, tolerance: quotaTolerance }
}

/** Encodes settings as the platform writes them, for programs that start hosts without the platform. */
export function encodeHostSettings (settings: HostSettings): string {
  const file: Static<typeof settingsFileSchema> = {
    nodeName: settings.hostName,
    ipAddress: settings.address,
    zone: settings.zone,
    listenAddresses: { frontend: settings.callersAddress, ready: settings.readinessAddress, controlPlane: settings.peersAddress },
    internalPortRange: [settings.datagramPort, settings.datagramPort],
    seedNodes: [...settings.seedAddresses],
    limits: { memoryMb: settings.memoryMb, fileDescriptors: settings.maxDescriptors, ...(settings.processorShare !== undefined && { cpuShare: settings.processorShare }) },
    heartbeatIntervalMs: settings.heartbeatMs,
    bounds: {
      drainMs: settings.drainMs,
      gracePeriodS: settings.shutdownMs / 1000,
      configApplyMs: settings.configurationMs,
      retryBudgetRatio: settings.retryShare,
      budgetWindowS: settings.retryWindowMs / 1000,
      retryBudgetExtra: settings.retryExtra,
      leaseMs: settings.leaseMs,
      passMs: defaultPassMs,
      version_ms: settings.versionMs,
      ...(settings.quotaBounds && { quotaWindowS: settings.quotaBounds.windowMs / 1000, quotaOverrun: settings.quotaBounds.overrunRatio, quotaTolerance: settings.quotaBounds.tolerance })
    },
    platform: { address: settings.storeAddress }
  }
  return JSON.stringify(file)
}
