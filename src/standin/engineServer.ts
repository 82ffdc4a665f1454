/** The HTTP face of a stand-in engine, in the OpenAI conventions. */
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { formatChunk, formatEvent, formatToken, formatWhole } from './completionFormat.js'
import type { CompletionBody } from './completionFormat.js'
import { EngineModel } from './engineModel.js'
import type { EngineModelOptions, EngineRun, ModelOutcome } from './engineModel.js'
import { EngineFaults, faultChangeSchema } from './engineFaults.js'
import type { FaultChange } from './engineFaults.js'
import { EngineStream } from './engineStream.js'
import { splitBlocks } from './prefixCache.js'
import { addTestRoutes } from './testRoutes.js'

export interface StandinServer {
  readonly address: string
  stop: () => Promise<void>
}

export interface StandinEngine extends StandinServer {
  readonly model: EngineModel
  /** Switches faults, as `POST /faults` does. */
  setFaults: (change: FaultChange) => void
}

export interface StandinEngineOptions extends EngineModelOptions {
  address: string
  /** 0 takes a free port. */
  port: number
  /** Shows the engine as leaving on the list of hosts, or as live. */
  setLeaving?: (isLeaving: boolean) => void
  /** Names the blocks of prompts; without it no prompt is cached. */
  hashText?: (text: string) => string
}

const defaultMaxTokens = 16
const charactersPerToken = 4
const maxBodyBytes = 8 * 1024 * 1024

/**
 * Starts a stand-in engine.
 *
 * @example
 * const engine = await startStandinEngine({ address: '127.0.0.1', port: 0, ...model })
 */
export async function startStandinEngine (options: StandinEngineOptions): Promise<StandinEngine> {
  const server = new EngineServer(options)
  await server.start()
  return server
}

class EngineServer implements StandinEngine {
  #options: StandinEngineOptions
  #server: FastifyInstance
  #streams = new Map<string, EngineStream>()
  #runs = new Map<string, EngineRun>()
  readonly model: EngineModel
  address = ''

  constructor (options: StandinEngineOptions) {
    this.#options = options
    this.model = new EngineModel({
      ...options, faults: options.faults ?? new EngineFaults(), receiveRestart: () => this.#receiveRestart()
    })
    this.#server = fastify({ bodyLimit: maxBodyBytes, forceCloseConnections: true })
    this.#addOrderRoutes()
    this.#addCompletionRoutes()
    this.#addStreamRoutes()
    addTestRoutes(this.#server, {
      readJournal: (after, limit) => this.model.journalPages.readPage(after, limit),
      faultsSchema: faultChangeSchema,
      setFaults: change => this.setFaults(change)
    })
  }

  async start (): Promise<void> {
    const { address, port } = this.#options
    await this.#server.listen({ host: address, port })
    const bound = this.#server.server.address() as AddressInfo
    this.address = `${address}:${bound.port}`
  }

  async stop (): Promise<void> {
    this.#dropStreams()
    await this.#server.close()
  }

  setFaults (change: FaultChange): void {
    const { restart, leaving, ...switches } = change
    this.model.faults.apply(switches)
    if (leaving !== undefined) this.#options.setLeaving?.(leaving)
    if (restart) this.model.restart()
  }

  #addOrderRoutes (): void {
    interface Order { Body: { lora_name: string, fencing?: number } }
    this.#server.post<Order>('/v1/load_lora_adapter', async ({ body }, reply) =>
      sendOutcome(reply, await this.model.loadAdapter(body.lora_name, body.fencing)))
    this.#server.post<Order>('/v1/unload_lora_adapter', async ({ body }, reply) =>
      sendOutcome(reply, this.model.unloadAdapter(body.lora_name, body.fencing)))
    this.#server.get('/report', async (_request, reply) => {
      if (this.model.isStarting) return await reply.code(503).send({ error: { code: 'engine_starting', message: 'the engine is starting' } })
      return this.model.readReport()
    })
    this.#server.get<{ Querystring: { after?: string } }>('/cache-events', async request =>
      this.#options.prefixCache?.listEvents(Number(request.query.after ?? 0)) ?? [])
  }

  #addCompletionRoutes (): void {
    for (const path of ['/v1/chat/completions', '/v1/completions']) {
      this.#server.post<{ Body: CompletionBody }>(path, (request, reply) => this.#startRun(path, request, reply))
    }
  }

  #addStreamRoutes (): void {
    interface StreamRequest { Params: { requestId: string, attempt: string }, Querystring: { from?: string } }
    const path = '/v1/streams/:requestId/:attempt'
    this.#server.get<StreamRequest>(path, (request, reply) => {
      const stream = this.#streams.get(`${request.params.requestId}/${request.params.attempt}`)
      if (!stream) {
        reply.code(404).send({ error: { code: 'stream_unknown', message: 'the engine keeps no such answer' } })
        return
      }
      reply.hijack()
      stream.attach(reply.raw, Number(request.query.from ?? 0))
    })
    this.#server.delete<StreamRequest>(path, async request => {
      this.#cancel(`${request.params.requestId}/${request.params.attempt}`)
      return {}
    })
  }

  #startRun (path: string, request: FastifyRequest<{ Body: CompletionBody }>, reply: FastifyReply): void {
    const key = String(request.headers['x-request-id'] ?? '/0')
    const { run, stream, isStalled } = this.#createRun(path, key, request)
    const outcome: ModelOutcome = isStalled ? { isDone: true } : this.model.addRun(run)
    if (!outcome.isDone) {
      reply.send(sendOutcome(reply, outcome))
      return
    }
    this.#runs.set(key, run)
    this.#streams.set(key, stream)
    reply.hijack()
    stream.attach(reply.raw, 0)
  }

  #createRun (path: string, key: string, request: FastifyRequest<{ Body: CompletionBody }>) {
    const { body } = request
    const isChat = path.includes('chat')
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '')
    const faults = this.model.faults.takeStreamFaults(body.stream === true)
    const stream = new EngineStream({
      clock: this.#options.clock,
      contentType: body.stream ? 'text/event-stream' : 'application/json',
      faults,
      cancel: () => this.#cancel(key),
      forget: () => this.#forget(key)
    })
    const [requestId = '', attempt] = key.split('/')
    const run: EngineRun = {
      requestId,
      attempt: Number(attempt),
      handle: body.model,
      priority: Number(request.headers['x-priority'] ?? 0),
      promptTokens: Math.ceil(prompt.length / charactersPerToken),
      maxTokens: body.max_tokens ?? defaultMaxTokens,
      prefixBlocks: this.#splitPrompt(body.model, prompt),
      isCrashing: this.model.faults.hasCrashMarker(prompt),
      ...createWriters(isChat, body, requestId, stream)
    }
    return { run, stream, isStalled: faults.isStalled }
  }

  #splitPrompt (handle: string, prompt: string): string[] {
    const { hashText, prefixCache } = this.#options
    return hashText && prefixCache ? splitBlocks(handle.split('#')[0]!, prompt, hashText) : []
  }

  #cancel (key: string): void {
    const run = this.#runs.get(key)
    if (run) this.model.cancelRun(run)
    this.#streams.get(key)?.drop()
    this.#forget(key)
  }

  #forget (key: string): void {
    this.#runs.delete(key)
    this.#streams.delete(key)
  }

  #receiveRestart (): void {
    this.#dropStreams()
    this.#server.server.closeAllConnections()
  }

  #dropStreams (): void {
    for (const stream of this.#streams.values()) stream.drop()
    this.#streams.clear()
    this.#runs.clear()
  }
}

/** Streams number each event; a whole answer is one frame. */
function createWriters (
  isChat: boolean, body: CompletionBody, requestId: string, stream: EngineStream
): Pick<EngineRun, 'sendToken' | 'finish'> {
  const { model } = body
  if (body.stream) {
    return {
      sendToken: index => stream.write(formatEvent(index, formatChunk(isChat, model, formatToken(model, requestId, index)))),
      finish: () => {
        stream.write(formatEvent(stream.length, '[DONE]'))
        stream.finish()
      }
    }
  }
  const texts: string[] = []
  const promptTokens = Math.ceil(JSON.stringify(body.messages ?? body.prompt ?? '').length / charactersPerToken)
  return {
    sendToken: index => { texts.push(formatToken(model, requestId, index)) },
    finish: () => {
      stream.write(formatWhole(isChat, { model, text: texts.join(''), promptTokens, completionTokens: texts.length }))
      stream.finish()
    }
  }
}

function sendOutcome (reply: FastifyReply, outcome: ModelOutcome): unknown {
  if (outcome.isDone) return { status: 'done' }
  reply.code(outcome.status)
  return { error: { code: outcome.code, message: outcome.message } }
}
