/** Steps of settings and command lines. */
import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { TObject } from '@sinclair/typebox'
import { readSettings, parseSettings } from '../../src/settings/readSettings.js'
import { gatewaySettingsSchema, schedulerSettingsSchema, standinSettingsSchema } from '../../src/settings/settingsSchemas.js'
import { runBinaryToEnd, writeSettings } from '../support/runBinary.js'
import type { BinaryResult } from '../support/runBinary.js'

interface SettingsWorld {
  result: BinaryResult
  blocker: Server | undefined
  port: number
}

const schemas: Record<string, TObject> = {
  gateway: gatewaySettingsSchema,
  scheduler: schedulerSettingsSchema,
  standin: standinSettingsSchema
}

function checkRefusal (schema: TObject, text: string, message: string): void {
  assert.throws(() => parseSettings('x.ini', text.replaceAll('\\n', '\n'), schema), (error: Error) => {
    assert.ok(error.message.startsWith(`x.ini: ${message}`), error.message)
    assert.ok(!error.message.includes('\n'), 'the message has one line')
    return true
  })
}

// The texts hold quotes and line breaks, which {string} does not take.
Then(/^the (gateway|stand-ins)'s? settings "([^]*?)" are refused with "([^]*)"$/, function (who: string, text: string, message: string) {
  checkRefusal(who === 'gateway' ? gatewaySettingsSchema : standinSettingsSchema, text, message)
})

When('{string} is run with {string}', async function (this: SettingsWorld, binary: string, argument: string) {
  this.result = await runBinaryToEnd(binary, argument === '' ? [] : [argument])
})

When(/^"(.*)" checks a file that holds "(.*)"$/, async function (this: SettingsWorld, binary: string, text: string) {
  this.result = await runBinaryToEnd(binary, ['--check', writeSettings(text.replaceAll('\\n', '\n'))])
})

When('{string} is run with a file that holds {string}', async function (this: SettingsWorld, binary: string, text: string) {
  this.result = await runBinaryToEnd(binary, [writeSettings(text)])
})

Given('a port that is in use', async function (this: SettingsWorld) {
  this.blocker = createServer()
  await new Promise<void>(resolve => this.blocker!.listen(0, '127.0.0.1', resolve))
  this.port = (this.blocker.address() as AddressInfo).port
})

When('{string} is run with a file that holds {string} and the port in use as {string} {string}',
  async function (this: SettingsWorld, binary: string, text: string, section: string, key: string) {
    const settings = `${text}\n[${section}]\n${key} = ${this.port}\n`
    this.result = await runBinaryToEnd(binary, [writeSettings(settings)])
  })

After(function (this: SettingsWorld) { this.blocker?.close() })

Then('it ends with code {int} and prints {string}', function (this: SettingsWorld, code: number, text: string) {
  assert.equal(this.result.code, code, this.result.errors)
  assert.ok(this.result.output.includes(text), this.result.output)
})

function checkErrorLine ({ code, errors }: BinaryResult, expectedCode: number, texts: string[]): void {
  assert.equal(code, expectedCode, errors)
  assert.match(errors, /^[^\n]+\n$/)
  for (const text of texts) assert.ok(errors.includes(text), errors)
}

Then(/^it ends with code (\d+) and one line of error that contains "(.*)"$/, function (this: SettingsWorld, code: string, text: string) {
  checkErrorLine(this.result, Number(code), [text])
})

Then('it ends with code {int} and one line of error that names the port in use, {string} and {string}',
  function (this: SettingsWorld, code: number, key: string, text: string) {
    checkErrorLine(this.result, code, ['settings.ini', `${key} is ${this.port}`, text])
  })

function listExamples (): string[] {
  return readdirSync('examples', { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.ini'))
}

Then('every file under {string} passes the check of its binary', function (folder: string) {
  const files = listExamples()
  assert.ok(files.length > 20, 'there are examples')
  for (const file of files) {
    const binary = /\/([a-z]+)/.exec(file)![1]!
    readSettings(join(folder, file), schemas[binary]!)
  }
})

Then('the examples have the hosts, zones, engines and services of {string}: {int}, {int}, {int}, {int}',
  function (name: string, hosts: number, zones: number, engines: number, services: number) {
    const files = listExamples().filter(file => file.startsWith(`${name}/`))
    const gateways = files.filter(file => file.includes('gateway-')).map(file => readSettings(join('examples', file), gatewaySettingsSchema))
    const schedulers = files.filter(file => file.includes('scheduler-'))
    const standin = readSettings(`examples/${name}/standin.ini`, standinSettingsSchema)
    assert.deepEqual([gateways.length, schedulers.length], [hosts, hosts])
    assert.deepEqual([new Set(gateways.map(({ host }) => host.zone)).size, standin.engines.zones], [zones, zones])
    assert.deepEqual([standin.engines.count, standin.services.count], [engines, services])
  })

Then('{string} names every section and key of each binary', function (page: string) {
  const text = readFileSync(page, 'utf8')
  for (const [binary, schema] of Object.entries(schemas)) {
    const part = text.split(/^## /m).find(section => section.startsWith(`\`sedgevalve-${binary}\``))
    assert.ok(part, `the page has a part on sedgevalve-${binary}`)
    for (const [section, { properties }] of Object.entries(schema.properties as Record<string, TObject>)) {
      for (const key of Object.keys(properties)) {
        assert.ok(part.includes(`| \`[${section}]\` | \`${key}\` |`), `the page lacks [${section}] ${key} of sedgevalve-${binary}`)
      }
    }
  }
})
