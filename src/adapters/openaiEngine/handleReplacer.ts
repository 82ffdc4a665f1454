/** Replaces the adapter handle in an engine's response with the adapter and version that callers know. */
import type { GenerationRequest } from '../../ports/engine.js'

const modelField = '"model":'
const whitespace = /\s/

/**
 * Creates a function that replaces the handle in `model` fields of JSON text.
 * Generated text is not affected, since quotes inside JSON strings are escaped.
 *
 * @example
 * createHandleReplacer({ handle: 'tax@2#1.1', model: 'tax@2' })('{"model":"tax@2#1.1"}') // '{"model":"tax@2"}'
 */
export function createHandleReplacer ({ handle, model }: Pick<GenerationRequest, 'handle' | 'model'>): (data: string) => string {
  const handleText = JSON.stringify(handle)
  const modelText = JSON.stringify(model)
  return data => {
    let replaced = ''
    let start = 0
    for (let index = data.indexOf(handleText); index >= 0; index = data.indexOf(handleText, index + 1)) {
      if (!isModelValue(data, index)) continue
      replaced += data.slice(start, index) + modelText
      start = index + handleText.length
    }
    return start === 0 ? data : replaced + data.slice(start)
  }
}

/** Whether the value that starts at `index` belongs to a field named `model`. */
function isModelValue (data: string, index: number): boolean {
  let end = index
  while (end > 0 && whitespace.test(data[end - 1]!)) end--
  return end >= modelField.length && data.startsWith(modelField, end - modelField.length)
}
