/** The HTTP face of a stand-in engine, in the OpenAI conventions. */
import type { AddressInfo } from 'node:net'
import fastify from 'fastify'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { EngineModel } from './engineModel.js'
import type { EngineModelOptions, EngineRun, ModelOutcome } from './engineModel.js'

export interface StandinServer {
  readonly address: string
  stop: () => Promise<void>
}

export interface StandinEngine extends StandinServer {
  readonly model: EngineModel
}

export interface StandinEngineOptions extends EngineModelOptions {
  address: string
  /** 0 takes a free port. */
  port: number
}

interface OrderBody {
  lora_name: string
}

interface CompletionBody {
  model: string
  stream?: boolean
  max_tokens?: number
  prompt?: unknown
  messages?: unknown
}

const defaultMaxTokens = 16
const charactersPerToken = 4

/**
 * Starts a stand-in engine.
 *
 * @example
 * const engine = await startStandinEngine({ address: '127.0.0.1', port: 0, ...model })
 */
export async function startStandinEngine (options: StandinEngineOptions): Promise<StandinEngine> {
  const model = new EngineModel(options)
  const server = fastify({ bodyLimit: 8 * 1024 * 1024, forceCloseConnections: true })
  addOrderRoutes(server, model)
  addCompletionRoutes(server, model)
  server.get('/report', async () => model.readReport())
  server.get('/journal', async () => model.journal)
  await server.listen({ host: options.address, port: options.port })
  const { port } = server.server.address() as AddressInfo
  return { model, address: `${options.address}:${port}`, stop: async () => await server.close() }
}

function addOrderRoutes (server: FastifyInstance, model: EngineModel): void {
  server.post<{ Body: OrderBody }>('/v1/load_lora_adapter', async (request, reply) => {
    return sendOutcome(reply, await model.loadAdapter(request.body.lora_name))
  })
  server.post<{ Body: OrderBody }>('/v1/unload_lora_adapter', async (request, reply) => {
    return sendOutcome(reply, model.unloadAdapter(request.body.lora_name))
  })
}

function sendOutcome (reply: FastifyReply, outcome: ModelOutcome): unknown {
  if (outcome.isDone) return { status: 'done' }
  reply.code(outcome.status)
  return { error: { code: outcome.code, message: outcome.message } }
}

function addCompletionRoutes (server: FastifyInstance, model: EngineModel): void {
  for (const path of ['/v1/chat/completions', '/v1/completions']) {
    server.post<{ Body: CompletionBody }>(path, (request, reply) => {
      const answer = createAnswer(path, request, reply)
      const outcome = model.addRun(answer.run)
      if (!outcome.isDone) {
        reply.send(sendOutcome(reply, outcome))
        return
      }
      reply.hijack()
      answer.open()
      reply.raw.on('close', () => model.cancelRun(answer.run))
    })
  }
}

interface Answer {
  run: EngineRun
  open: () => void
}

/** Every token names the handle and its place, so that a mixed-up answer shows. */
export function formatToken (handle: string, requestId: string, index: number): string {
  return index === 0 ? `[${handle} ${requestId}]` : ` t${index}`
}

function createAnswer (path: string, request: FastifyRequest<{ Body: CompletionBody }>, reply: FastifyReply): Answer {
  const { body } = request
  const [requestId, attempt] = String(request.headers['x-request-id'] ?? '/0').split('/')
  const isChat = path.includes('chat')
  const texts: string[] = []
  const run: EngineRun = {
    requestId: requestId ?? '',
    attempt: Number(attempt),
    handle: body.model,
    priority: Number(request.headers['x-priority'] ?? 0),
    promptTokens: Math.ceil(JSON.stringify(body.messages ?? body.prompt ?? '').length / charactersPerToken),
    maxTokens: body.max_tokens ?? defaultMaxTokens,
    sendToken: index => {
      const text = formatToken(body.model, run.requestId, index)
      if (body.stream) reply.raw.write(`data: ${JSON.stringify(formatChunk(isChat, body.model, text))}\n\n`)
      else texts.push(text)
    },
    finish: () => {
      if (body.stream) reply.raw.end('data: [DONE]\n\n')
      else reply.raw.end(JSON.stringify(formatWhole(isChat, body.model, texts.join(''), run)))
    }
  }
  const contentType = body.stream ? 'text/event-stream' : 'application/json'
  return { run, open: () => { reply.raw.writeHead(200, { 'content-type': contentType }) } }
}

function formatChunk (isChat: boolean, model: string, text: string): unknown {
  return isChat
    ? { object: 'chat.completion.chunk', model, choices: [{ index: 0, delta: { content: text } }] }
    : { object: 'text_completion', model, choices: [{ index: 0, text }] }
}

function formatWhole (isChat: boolean, model: string, text: string, run: EngineRun): unknown {
  const usage = { prompt_tokens: run.promptTokens, completion_tokens: run.maxTokens, total_tokens: run.promptTokens + run.maxTokens }
  return isChat
    ? { object: 'chat.completion', model, choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }], usage }
    : { object: 'text_completion', model, choices: [{ index: 0, text, finish_reason: 'stop' }], usage }
}
