/** Reads chat answers. */
import assert from 'node:assert/strict'

interface Chunk {
  model: string
  choices: Array<{ delta?: { content: string }, message?: { content: string } }>
}

/** Reads text and model of a chat answer, whole or streamed. */
export function readChatText (text: string): { model: string, content: string } {
  const isStream = text.startsWith('data:')
  const chunks = isStream
    ? text.split('\n\n').filter(event => event.startsWith('data: {')).map(event => JSON.parse(event.slice(6)) as Chunk)
    : [JSON.parse(text) as Chunk]
  if (isStream) assert.ok(text.endsWith('data: [DONE]\n\n'), 'the stream has its last event')
  const content = chunks.map(({ choices }) => choices[0]?.delta?.content ?? choices[0]?.message?.content ?? '').join('')
  return { model: chunks[0]?.model ?? '', content }
}
