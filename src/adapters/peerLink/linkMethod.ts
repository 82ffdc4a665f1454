/** The one gRPC method between the system's processes: a stream of message batches each way. */
import type grpc from '@grpc/grpc-js'
import { Packr } from 'msgpackr'
import { TypeCompiler } from '@sinclair/typebox/compiler'
import VError from 'verror'
import { peerMessageSchema } from '../../schemas/peerMessage.js'
import type { PeerMessage } from '../../schemas/peerMessage.js'

/** Largest batch that a process takes, in bytes. */
export const maxBatchBytes = 16 * 1024 * 1024
export const peerKeyHeader = 'sedgevalve-peer-key'

const packr = new Packr({ useRecords: false })
const messageCheck = TypeCompiler.Compile(peerMessageSchema)

/** Encodes the messages of one turn of the event loop. */
export function encodeBatch (messages: PeerMessage[]): Buffer {
  return packr.pack(messages)
}

/** Decodes a batch; throws where a message does not match its schema. */
export function decodeBatch (bytes: Buffer): PeerMessage[] {
  const batch: unknown = packr.unpack(bytes)
  if (!Array.isArray(batch)) throw new VError('a peer sent something that is not a batch of messages')
  for (const message of batch) checkMessage(message)
  return batch as PeerMessage[]
}

function checkMessage (message: unknown): void {
  if (messageCheck.Check(message)) return
  const type = (message as { type?: unknown } | null)?.type
  throw new VError('a peer sent a message of type "%s" that does not match its schema', String(type))
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

/** Connection settings of both sides; a silent peer is noticed within the sum of the two times. */
export const channelOptions: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': maxBatchBytes,
  'grpc.keepalive_time_ms': 1500,
  'grpc.keepalive_timeout_ms': 1500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.enable_retries': 0,
  'grpc.use_local_subchannel_pool': 1
}
