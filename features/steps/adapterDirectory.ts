/** Steps of the directory that an adapter's home keeps. */
import assert from 'node:assert/strict'
import { Before, Then, When } from '@cucumber/cucumber'
import { AdapterDirectory } from '../../src/core/desk/adapterDirectory.js'

interface DirectoryWorld {
  directory: AdapterDirectory
  directoryNowMs: number
}

Before(function (this: DirectoryWorld) {
  this.directory = new AdapterDirectory()
  this.directoryNowMs = 0
})

When('{string} takes a request for {string}', function (this: DirectoryWorld, engine: string, adapter: string) {
  this.directory.record(adapter, engine, this.directoryNowMs)
})

When('{string} takes requests for {int} other adapters', function (this: DirectoryWorld, engine: string, count: number) {
  for (let index = 0; index < count; index++) this.directory.record(`other-${index}`, engine, this.directoryNowMs)
})

When('{int} s pass for the directory', function (this: DirectoryWorld, seconds: number) {
  this.directoryNowMs += seconds * 1000
})

Then('requests for {string} are sent to {string}', function (this: DirectoryWorld, adapter: string, engine: string) {
  assert.equal(this.directory.find(adapter, this.directoryNowMs), engine)
})

Then('requests for {string} stay at home', function (this: DirectoryWorld, adapter: string) {
  assert.equal(this.directory.find(adapter, this.directoryNowMs), undefined)
})
