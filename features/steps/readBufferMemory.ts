/** Steps of the memory that reading takes. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { Then, When } from '@cucumber/cucumber'

interface ReadBufferWorld {
  peakMallocedBytes: number
}

const linkModule = new URL('../../src/adapters/endpointHttp/httpEndpointLink.js', import.meta.url).href

/** Renders a program that reads responses over a link and prints the most memory that V8 took beside its heap. */
function formatReader (responses: number, headBytes: number): string {
  return `
    import { createServer } from 'node:http'
    import { getHeapStatistics } from 'node:v8'
    import { openHttpEndpointLink } from '${linkModule}'
    const server = createServer((message, response) => { response.writeHead(200, { 'x-filler': 'x'.repeat(${headBytes}) }).end('y') })
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    const link = openHttpEndpointLink({ address: '127.0.0.1:' + server.address().port, getMaxConnections: () => 1, readNow: () => performance.now() })
    for (let count = 0; count < ${responses}; count++) {
      await new Promise((resolve, reject) => link.send({ id: 'r1', method: 'GET', path: '/', headers: [] }, {
        confirmSend: () => true, receiveHead: () => {}, receiveData: () => true, receiveEnd: resolve, receiveFailure: ({ reason }) => reject(new Error(reason))
      }))
    }
    process.stdout.write(String(getHeapStatistics().peak_malloced_memory))
    process.exit()
  `
}

When('a process reads {int} responses with heads of {int} bytes over a link to an endpoint', async function (this: ReadBufferWorld, responses: number, headBytes: number) {
  const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', formatReader(responses, headBytes)])
  this.peakMallocedBytes = Number(stdout)
})

Then('V8 took less than {int} MB of memory beside its heap', function (this: ReadBufferWorld, megabytes: number) {
  const peakMb = this.peakMallocedBytes / 1024 / 1024
  assert.ok(peakMb > 0 && peakMb < megabytes, `${peakMb.toFixed(1)} MB`)
})
