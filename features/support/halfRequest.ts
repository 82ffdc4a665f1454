/** A request whose body stops half-way. */
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'

export const halfRequest = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${exampleCallerKey}\r\n` +
  'content-type: application/json\r\ncontent-length: 100\r\n\r\n{"model"'
