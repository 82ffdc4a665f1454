/** Steps of the live page. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { PageDocument } from '../support/pageDocument.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

interface PageWorld extends SystemWorld {
  page: PageDocument | undefined
}

When('the page of gateway {int} is opened with key {string}', function (this: PageWorld, gateway: number, key: string) {
  this.page = new PageDocument(`http://127.0.0.1:${this.playground!.gateways[gateway - 1]!.operatorsPort}`, key)
})

Given('the page without a system', function (this: PageWorld) {
  this.page = new PageDocument('http://127.0.0.1:1', '')
})

When('the request is explained on the page', function (this: PageWorld) {
  this.page!.find('requestId').value = this.answer!.headers.get('sedgevalve-request-id')!
  this.page!.find('storyForm').send('submit')
})

When('it draws an endpoint with a late queue, a load, {int} requests in its batch and an adapter named {string}',
  function (this: PageWorld, count: number, adapter: string) {
    const run = { requestId: 'req-1', attempt: 1, className: 'counter', adapter, version: '1', handle: `${adapter}@1#1.1`, ageMs: 900 }
    const endpoint = {
      endpointId: 'engine-1',
      host: 'scheduler-1',
      zone: 'az-1',
      baseModel: 'base-1',
      presence: 'live',
      fencing: 1,
      isReady: true,
      slots: 8,
      batchLimit: 16,
      loaded: [`${adapter}@1`],
      loading: ['kit-tutor@2'],
      runningCount: count,
      running: Array.from({ length: count }, () => run),
      queues: [{ className: 'counter', target: 'first token within 450ms', queued: 3, oldestMs: 2450, dueInMs: -2000 }]
    }
    const scheduler = { host: 'scheduler-1', endpoints: [endpoint], loadsLastMinute: 5, loadBudget: { loadsPerSecond: 4.5, loadsAtFullSpeed: 3 } }
    this.page!.call('renderStatus', {
      host: 'gateway-1', zone: 'az-1', configurationVersion: 3, gateways: ['gateway-1'], schedulers: [scheduler], silentHosts: []
    })
  })

Then(/^part "(.*?)" of the page shows "(.*)"$/, async function (this: PageWorld, id: string, text: string) {
  await waitUntil(() => this.page!.find(id).textContent.replaceAll('\u00a0', ' ').includes(text))
})

Then('part {string} of the page is empty', function (this: PageWorld, id: string) {
  assert.equal(this.page!.find(id).textContent, '')
})

Then('part {string} of the page is hidden', async function (this: PageWorld, id: string) {
  await waitUntil(() => this.page!.find(id).hidden)
})

Then('part {string} of the page is not hidden', function (this: PageWorld, id: string) {
  assert.equal(this.page!.find(id).hidden, false)
})

Then('the page has created no element {string} for it', function (this: PageWorld, name: string) {
  assert.ok(!this.page!.createdTags.includes(name))
})

After(function (this: PageWorld) {
  this.page?.close()
})
