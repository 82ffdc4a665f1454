/** The only gRPC method between processes of the system: a stream of message batches in each direction. */
import type grpc from '@grpc/grpc-js'
import { Packr } from 'msgpackr'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import VError from 'verror'
import { answerDataSchema, peerMessageSchema } from '../../schemas/peerMessage.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'

/** Largest batch that a process accepts, in bytes. */
export const maxBatchBytes = 16 * 1024 * 1024
/**
 * HTTP/2 flow-control window in bytes: how much a scheduler can send before a gateway has read it. It holds 80 ms of
 * 80,000 tokens per second. Under load, the batch of one turn of the event loop is larger than the library's default of
 * 64 KB, so each batch would wait until the previous one had been read.
 */
const flowControlWindowBytes = 1024 * 1024
export const peerKeyHeader = 'sedgevalve-peer-key'

const packr = new Packr({ useRecords: false })
const messageValidator = TypeCompiler.Compile(peerMessageSchema)

const answerDataValidator = TypeCompiler.Compile(answerDataSchema)

/** An `answerData` message as an array, without its field names. Nearly all messages under load are of this type. */
type PackedAnswerData = [requestId: string, attempt: number, sequence: number, data: string]
const packedValueCount = 4

/** Encodes a batch of messages with MessagePack. */
export function encodeBatch (messages: PeerMessage[]): Buffer {
  return packr.pack(messages.map(message => message.type === 'answerData' ? packAnswerData(message) : message))
}

/** Decodes a batch. Throws where the bytes are no batch or a message does not match its schema. */
export function decodeBatch (bytes: Buffer): PeerMessage[] {
  const batch: unknown = packr.unpack(bytes)
  if (!Array.isArray(batch)) throw new VError('a peer sent data that is not a batch of messages')
  return batch.map(message => Array.isArray(message) ? unpackAnswerData(message) : checkMessage(message))
}

function packAnswerData ({ requestId, attempt, sequence, data }: PeerMessageOf<'answerData'>): PackedAnswerData {
  return [requestId, attempt, sequence, data]
}

function unpackAnswerData (values: unknown[]): PeerMessage {
  const [requestId, attempt, sequence, data] = values
  const message = { type: 'answerData', requestId, attempt, sequence, data }
  if (values.length === packedValueCount && answerDataValidator.Check(message)) return message
  throw createSchemaMismatchError(message.type)
}

function checkMessage (message: unknown): PeerMessage {
  if (messageValidator.Check(message)) return message
  throw createSchemaMismatchError((message as { type?: unknown } | null)?.type)
}

function createSchemaMismatchError (type: unknown): VError {
  return new VError('a peer sent a message of type "%s" that does not match its schema', String(type))
}

export const linkMethod: grpc.MethodDefinition<PeerMessage[], PeerMessage[]> = {
  path: '/sedgevalve.Peers/Link',
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeBatch,
  requestDeserialize: decodeBatch,
  responseSerialize: encodeBatch,
  responseDeserialize: decodeBatch
}

/** Options of the side that opens a link. It detects an unresponsive peer within the sum of the two keepalive times. */
export const clientChannelOptions: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': maxBatchBytes,
  'grpc.keepalive_time_ms': 1500,
  'grpc.keepalive_timeout_ms': 1500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.enable_retries': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc-node.flow_control_window': flowControlWindowBytes
}

/**
 * Options of the side that accepts links. Schedulers open links to each other, so each of them already detects lost
 * schedulers as the opening side. Only gateways that vanish without closing their link are detected by this side alone;
 * their requests end a little later because of the longer keepalive time.
 */
export const serverChannelOptions: grpc.ChannelOptions = { ...clientChannelOptions, 'grpc.keepalive_time_ms': 8000 }
