/** `sedgevalvectl key`: keys of callers and operators; the system keeps their hashes alone. */
import { createHash, randomBytes } from 'node:crypto'
import type { KeyRecord } from '../../schemas/configuration.js'
import { createClientError } from '../clientError.js'
import { readListOption, readOption } from '../command.js'
import type { AnyCommand, CommandContext, LocalCommand, OptionValues } from '../command.js'
import { createRecordCommands } from '../recordKind.js'

const keyBytes = 32

const hashCommand: LocalCommand = {
  words: ['key', 'hash'],
  arguments: ['FILE'],
  summary: 'prints the hash of the key in a file, for [operators] keyHash or --hash; "-" reads the standard input',
  options: {},
  runLocally: context => {
    const key = context.readFile(context.positionals[0]!).trim()
    if (key === '') throw createClientError('usage', 'the file holds no key')
    context.print(hashText(key))
  }
}

export const keyCommands: AnyCommand[] = [...createRecordCommands<KeyRecord>({
  kind: 'key',
  columns: ['role', 'adapters', 'services', 'classes', 'default class'],
  renderColumns: record => [record.role, record.adapters.join(' '), record.services.join(' '), record.classes.join(' '), record.defaultClass ?? ''],
  setOptions: {
    role: { type: 'string', help: 'caller or operator' },
    adapters: { type: 'string', multiple: true, help: 'adapters that the key reaches, in commas; "*" reaches all' },
    services: { type: 'string', multiple: true, help: 'services that the key reaches, in commas; "*" reaches all' },
    classes: { type: 'string', multiple: true, help: 'classes that the key may ask for, in commas; "*" allows all' },
    'default-class': { type: 'string', help: 'class of requests that name none; "" takes it away' },
    hash: { type: 'string', help: 'SHA-256 of a key that exists already, in lower-case hex' },
    rotate: { type: 'boolean', help: 'makes a new key in place of the present one' }
  },
  buildRecord: buildKey
}), hashCommand]

function buildKey (name: string, before: KeyRecord | undefined, values: OptionValues, context: CommandContext): KeyRecord {
  const defaultClass = readOption(values, 'default-class') ?? before?.defaultClass
  return {
    kind: 'key',
    name,
    role: resolveRole(values, before),
    hash: resolveHash(before, values, context),
    adapters: readListOption(values, 'adapters') ?? before?.adapters ?? [],
    services: readListOption(values, 'services') ?? before?.services ?? [],
    classes: readListOption(values, 'classes') ?? before?.classes ?? [],
    ...(defaultClass && { defaultClass })
  }
}

function resolveRole (values: OptionValues, before: KeyRecord | undefined): KeyRecord['role'] {
  const role = readOption(values, 'role') ?? before?.role ?? 'caller'
  if (role !== 'caller' && role !== 'operator') throw createClientError('usage', `--role "${role}" is wrong; expected caller or operator`)
  return role
}

/** A new key is printed once and kept nowhere. */
function resolveHash (before: KeyRecord | undefined, values: OptionValues, context: CommandContext): string {
  const given = readOption(values, 'hash')
  if (given !== undefined && !/^[0-9a-f]{64}$/.test(given)) {
    throw createClientError('usage', '--hash is wrong; expected a SHA-256 in lower-case hex, as "sedgevalvectl key hash" prints it')
  }
  if (given !== undefined) return given
  if (before && values.rotate !== true) return before.hash
  const key = `sv-${randomBytes(keyBytes).toString('base64url')}`
  context.printNote(`The key, shown this once, good as soon as the change is in force: ${key}`)
  return hashText(key)
}

function hashText (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
