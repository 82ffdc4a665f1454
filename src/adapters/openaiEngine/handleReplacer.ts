/** Shows callers the adapter and version where an engine's answer shows the handle. */
import type { GenerateOrder } from '../../ports/engine.js'

const modelField = '"model":'
const space = /\s/

/**
 * Creates a function that replaces the handle in `model` fields; in the text of an answer its quotes would be escaped.
 *
 * @example
 * createHandleReplacer({ handle: 'tax@2#1.1', model: 'tax@2' })('{"model":"tax@2#1.1"}') // '{"model":"tax@2"}'
 */
export function createHandleReplacer ({ handle, model }: Pick<GenerateOrder, 'handle' | 'model'>): (data: string) => string {
  const handleText = JSON.stringify(handle)
  const modelText = JSON.stringify(model)
  return data => {
    let replaced = ''
    let start = 0
    for (let at = data.indexOf(handleText); at >= 0; at = data.indexOf(handleText, at + 1)) {
      if (!isModelValue(data, at)) continue
      replaced += data.slice(start, at) + modelText
      start = at + handleText.length
    }
    return start === 0 ? data : replaced + data.slice(start)
  }
}

/** Whether a value that begins at a place belongs to a field named `model`. */
function isModelValue (data: string, at: number): boolean {
  let end = at
  while (end > 0 && space.test(data[end - 1]!)) end--
  return end >= modelField.length && data.startsWith(modelField, end - modelField.length)
}
