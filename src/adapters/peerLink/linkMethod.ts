/** The one gRPC method between the system's processes: a stream of message batches each way. */
import type grpc from '@grpc/grpc-js'
import { Packr } from 'msgpackr'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import VError from 'verror'
import { answerDataSchema, peerMessageSchema } from '../../schemas/peerMessage.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'

/** Largest batch that a process takes, in bytes. */
export const maxBatchBytes = 16 * 1024 * 1024
/**
 * What a scheduler may send ahead of a gateway's reading, in bytes: 80 ms of 80,000 tokens a second. The library's 64 KB are
 * less than one turn's batch under load, so that each batch would wait for the one before to be read.
 */
const maxUnreadBytes = 1024 * 1024
export const peerKeyHeader = 'sedgevalve-peer-key'

const packr = new Packr({ useRecords: false })
const messageCheck = TypeCompiler.Compile(peerMessageSchema)

const answerDataCheck = TypeCompiler.Compile(answerDataSchema)

/** A part of an answer without the names of its fields; nearly all messages under load are these. */
type PackedAnswerData = [requestId: string, attempt: number, sequence: number, data: string]
const packedValues = 4

/** Encodes the messages of one turn of the event loop. */
export function encodeBatch (messages: PeerMessage[]): Buffer {
  return packr.pack(messages.map(message => message.type === 'answerData' ? packAnswerData(message) : message))
}

/** Decodes a batch; throws where a message does not match its schema. */
export function decodeBatch (bytes: Buffer): PeerMessage[] {
  const batch: unknown = packr.unpack(bytes)
  if (!Array.isArray(batch)) throw new VError('a peer sent something that is not a batch of messages')
  return batch.map(message => Array.isArray(message) ? unpackAnswerData(message) : checkMessage(message))
}

function packAnswerData ({ requestId, attempt, sequence, data }: PeerMessageOf<'answerData'>): PackedAnswerData {
  return [requestId, attempt, sequence, data]
}

function unpackAnswerData (values: unknown[]): PeerMessage {
  const [requestId, attempt, sequence, data] = values
  const message = { type: 'answerData', requestId, attempt, sequence, data }
  if (values.length === packedValues && answerDataCheck.Check(message)) return message
  throw createMismatch(message.type)
}

function checkMessage (message: unknown): PeerMessage {
  if (messageCheck.Check(message)) return message
  throw createMismatch((message as { type?: unknown } | null)?.type)
}

function createMismatch (type: unknown): VError {
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

/** Connection settings of the side that opened it; a silent peer is noticed within the sum of the two times. */
export const channelOptions: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': maxBatchBytes,
  'grpc.keepalive_time_ms': 1500,
  'grpc.keepalive_timeout_ms': 1500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.enable_retries': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc-node.flow_control_window': maxUnreadBytes
}

/**
 * Connection settings of the side that serves. Schedulers open links to each other, so that this side alone notices only
 * gateways that have gone without a word, whose requests then end a little later.
 */
export const servedChannelOptions: grpc.ChannelOptions = { ...channelOptions, 'grpc.keepalive_time_ms': 8000 }
