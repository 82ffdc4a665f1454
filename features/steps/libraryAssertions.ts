/** Steps of the names that a build gives to a library's assertions. */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join, resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import { Given, Then, When } from '@cucumber/cucumber'
import { build } from 'esbuild'

interface AssertionsWorld {
  source: string
  thrown: Error
  files: Array<{ path: string, source: string, named: string }>
}

const { nameAssertions } = await import(pathToFileURL(resolve('deploy/nameAssertions.mjs')).href) as { nameAssertions: (source: string, file: string) => string }
const bundledAssert: unknown = createRequire(import.meta.url)(resolve('deploy/assert.cjs'))

Given(/^the assertion ([^]+) with x = "a\)" in a bundled file$/, function (this: AssertionsWorld, source: string) {
  this.source = source.replaceAll('\\n', '\n').replaceAll('\\\\', '\\')
})

Then(/^it fails with (.+)$/, function (this: AssertionsWorld, message: string) {
  // eslint-disable-next-line no-new-func
  const run = new Function('assert', 'x', nameAssertions(this.source, 'lib/file.js'))
  assert.throws(() => { run(bundledAssert, 'a)') }, { name: 'AssertionError', message })
})

Then('its file cannot be bundled', function (this: AssertionsWorld) {
  assert.throws(() => nameAssertions(this.source, 'lib/file.js'), /lib\/file\.js.*the assertion cannot be/)
})

When('all files of the HTTP client are read as they are bundled', function (this: AssertionsWorld) {
  const folder = 'node_modules/undici/lib'
  const paths = readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(path => path.endsWith('.js')).map(path => join(folder, path))
  this.files = paths.map(path => {
    const source = readFileSync(path, 'utf8')
    return { path, source, named: nameAssertions(source, path) }
  })
})

Then('each of their assertions is named or has a message, and nothing else differs', function (this: AssertionsWorld) {
  let count = 0
  for (const { path, source, named } of this.files) {
    const lines = named.split('\n')
    for (const [index, line] of source.split('\n').entries()) {
      const isAssertion = /^\s*assert\(.*\)/.test(line)
      if (isAssertion) {
        count++
        assert.match(lines[index]!, /^\s*assert\(.*, ['"`].*['"`]\)( \/\/.*)?$/, path)
        const place = lines[index]!.lastIndexOf(', "')
        if (lines[index] !== line) assert.ok(line.startsWith(lines[index]!.slice(0, place)), line)
      } else {
        assert.equal(lines[index], line, path)
      }
    }
  }
  assert.ok(count > 100, `${count} assertions`)
})

When('a library with checks of its own finds a number where it needs a text', async function (this: AssertionsWorld) {
  const { outputFiles } = await build({
    stdin: { contents: 'module.exports = require("assert-plus")', resolveDir: '.' }, bundle: true, write: false, platform: 'node', format: 'cjs', alias: { assert: './deploy/assert.cjs' }
  })
  const bundled: { exports: { string: (value: unknown, name: string) => void } } = { exports: { string: () => {} } }
  // eslint-disable-next-line no-new-func
  new Function('module', 'require', outputFiles[0]!.text)(bundled, createRequire(import.meta.url))
  try {
    bundled.exports.string(1, 'name')
  } catch (error) {
    this.thrown = error as Error
  }
})

Then('the error is an AssertionError with the message {string}', function (this: AssertionsWorld, message: string) {
  assert.deepEqual([this.thrown.name, this.thrown.message], ['AssertionError', message])
})
