/** Steps for the adapter locations that a preferred engine's allocator records. */
import assert from 'node:assert/strict'
import { Before, Then, When } from '@cucumber/cucumber'
import { AdapterLocations } from '../../src/core/allocation/adapterLocations.js'

interface LocationsWorld {
  adapterLocations: AdapterLocations
  locationsNowMs: number
}

Before(function (this: LocationsWorld) {
  this.adapterLocations = new AdapterLocations()
  this.locationsNowMs = 0
})

When('{string} serves a request for {string}', function (this: LocationsWorld, engine: string, adapter: string) {
  this.adapterLocations.record(adapter, engine, this.locationsNowMs)
})

When('{string} serves requests for {int} other adapters', function (this: LocationsWorld, engine: string, count: number) {
  for (let index = 0; index < count; index++) this.adapterLocations.record(`other-${index}`, engine, this.locationsNowMs)
})

When('{int} s pass for the recorded locations', function (this: LocationsWorld, seconds: number) {
  this.locationsNowMs += seconds * 1000
})

Then('requests for {string} are sent to {string}', function (this: LocationsWorld, adapter: string, engine: string) {
  assert.equal(this.adapterLocations.find(adapter, this.locationsNowMs), engine)
})

Then('requests for {string} stay at the preferred engine', function (this: LocationsWorld, adapter: string) {
  assert.equal(this.adapterLocations.find(adapter, this.locationsNowMs), undefined)
})
