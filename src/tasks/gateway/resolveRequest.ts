/** Validates a caller's request for a model and determines its adapter, version, class and target. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import { computeDueInMs } from '../../core/targetTime.js'
import { maxIdempotencyKeyBytes } from '../../constants.js'
import type { AdapterRecord, ClassRecord, ConfigurationView, KeyRecord } from '../../schemas/configuration.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { isNameAllowed } from './callerAccess.js'
import type { ValidationResult } from './callerAccess.js'
import type { RoutedRequest } from './routedRequest.js'

const charactersPerToken = 4
const defaultMaxTokens = 256

const sharedFields = {
  model: Type.String({ minLength: 1 }),
  stream: Type.Optional(Type.Boolean()),
  max_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: 131072 }))
}
const chatSchema = Type.Object({
  ...sharedFields,
  messages: Type.Array(Type.Object({ role: Type.String(), content: Type.Unknown() }), { minItems: 1 })
})
const completionSchema = Type.Object({
  ...sharedFields,
  prompt: Type.Union([Type.String(), Type.Array(Type.Unknown())])
})
const chatValidator = TypeCompiler.Compile(chatSchema)
const completionValidator = TypeCompiler.Compile(completionSchema)
type ModelBody = Static<typeof chatSchema> | Static<typeof completionSchema>

export interface ModelRequest {
  requestId: string
  path: '/v1/chat/completions' | '/v1/completions'
  /** Parsed JSON body. */
  body: unknown
  /** Value of `Sedgevalve-Class`. */
  className: string | undefined
  idempotencyKey: string | undefined
  caller: KeyRecord
  arrivedAtMs: number
  arrivedAtWallMs: number
}

/** Computes the hash of a text; every host computes the same one. */
export type HashText = (text: string) => string

/** Resolves a request, or returns the failure that describes why it is invalid. */
export function resolveRequest (
  configuration: ConfigurationView, request: ModelRequest, hashText: HashText
): ValidationResult<RoutedRequest> {
  const body = validateBody(request)
  if (!body.isValid) return body
  const { idempotencyKey } = request
  if (idempotencyKey !== undefined && Buffer.byteLength(idempotencyKey) > maxIdempotencyKeyBytes) {
    return refuse('idempotency_key_too_long', `the Idempotency-Key is longer than ${maxIdempotencyKeyBytes} bytes`)
  }
  const version = resolveVersion(configuration, request.caller, body.value.model)
  if (!version.isValid) return version
  const classRecord = resolveClass(configuration, request, version.value.adapter)
  if (!classRecord.isValid) return classRecord
  return { isValid: true, value: createRoutedRequest(request, body.value, version.value, classRecord.value, hashText) }
}

function createRoutedRequest (
  request: ModelRequest, body: ModelBody, resolved: ResolvedVersion, classRecord: ClassRecord, hashText: HashText
): RoutedRequest {
  const { model, ...bodyWithoutModel } = body
  const text = JSON.stringify(bodyWithoutModel)
  return {
    requestId: request.requestId,
    callerName: request.caller.name,
    adapter: resolved.adapter.name,
    version: resolved.version,
    baseModel: resolved.adapter.baseModel,
    className: classRecord.name,
    target: classRecord.target,
    arrivedAtMs: request.arrivedAtMs,
    dueAtMs: request.arrivedAtMs + computeDueInMs(classRecord.target, request.arrivedAtWallMs),
    isRetryable: request.idempotencyKey === undefined,
    fingerprint: hashText(`${request.path} ${resolved.adapter.name}@${resolved.version} ${text}`),
    promptTokens: Math.ceil(text.length / charactersPerToken),
    maxTokens: body.max_tokens ?? defaultMaxTokens,
    path: request.path,
    body: text,
    isStream: body.stream === true
  }
}

function validateBody (request: ModelRequest): ValidationResult<ModelBody> {
  const validator = request.path === '/v1/chat/completions' ? chatValidator : completionValidator
  if (validator.Check(request.body)) return { isValid: true, value: request.body as ModelBody }
  const error = validator.Errors(request.body).First()
  const field = error?.path.slice(1).replaceAll('/', '.') || 'body'
  return refuse('invalid_body', `field "${field}" of the request is invalid: ${error?.message.toLowerCase()}`)
}

interface ResolvedVersion {
  adapter: AdapterRecord
  version: string
}

/** Resolves the `model` field: `adapter@version`, or `adapter` for the adapter's current version. */
function resolveVersion (configuration: ConfigurationView, caller: KeyRecord, model: string): ValidationResult<ResolvedVersion> {
  const [name = '', requestedVersion] = model.split('@')
  const adapter = configuration.findAdapter(name)
  // The same message in both cases: it must not reveal whether an adapter exists that the key has no access to.
  if (!adapter || !isNameAllowed(caller.adapters, name)) {
    return refuse('model_not_found', `adapter "${name}" does not exist or the key has no access to it`, 404)
  }
  const version = requestedVersion ?? adapter.currentVersion
  if (!adapter.versions.includes(version)) {
    return refuse('model_not_found', `version "${version}" does not exist in adapter "${name}"`, 404)
  }
  return { isValid: true, value: { adapter, version } }
}

function resolveClass (configuration: ConfigurationView, request: ModelRequest, adapter: AdapterRecord): ValidationResult<ClassRecord> {
  const { caller } = request
  const name = request.className ?? adapter.defaultClass ?? caller.defaultClass
  if (name === undefined) {
    return refuse('class_missing', 'the request has no "Sedgevalve-Class" header, and neither its adapter nor its key has a default class')
  }
  const record = configuration.findClass(name)
  if (!record) return refuse('class_not_found', `class "${name}" does not exist`)
  const isDefault = request.className === undefined
  if (!isDefault && !isNameAllowed(caller.classes, name)) {
    return refuse('class_not_allowed', `the key has no access to class "${name}"`, 403)
  }
  return { isValid: true, value: record }
}

function refuse (code: string, message: string, status = 400): { isValid: false, failure: ReturnType<typeof createNotRunFailure> } {
  return { isValid: false, failure: createNotRunFailure(code, message, status) }
}
