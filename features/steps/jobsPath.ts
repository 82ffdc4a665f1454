/** Steps of jobs on the callers' port. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { SystemWorld } from '../support/world.js'
import { waitUntil } from '../support/waitUntil.js'

interface JobsPathWorld extends SystemWorld {
  jobId: string
}

interface ShownJob {
  id: string
  state: string
  answer?: { body: { choices: Array<{ message: { content: string } }> } }
}

interface JobPage {
  data: ShownJob[]
  has_more: boolean
  last_id: string
}

async function submitJob (world: JobsPathWorld, gateway: number, tokens: number, model = 'cluj-tax'): Promise<void> {
  world.gateway = gateway - 1
  const body = { model, max_tokens: tokens, messages: [{ role: 'user', content: 'Hello' }] }
  const answer = await world.call('/v1/jobs', { path: '/v1/chat/completions', body }, { 'sedgevalve-class': 'soon' })
  world.jobId = (JSON.parse(answer.text) as ShownJob).id
}

async function readJob (world: JobsPathWorld, gateway: number): Promise<ShownJob> {
  world.gateway = gateway - 1
  return JSON.parse((await world.call(`/v1/jobs/${world.jobId}`, undefined)).text) as ShownJob
}

Given('class {string} finishes within {int} ms', async function (this: JobsPathWorld, name: string, ms: number) {
  const { configuration } = this.playground!.gateways[0]!
  const puts = [{ kind: 'class' as const, name, target: { kind: 'finishWithin' as const, ms } }]
  assert.equal((await configuration.changeRecords({ puts, removes: [], ifVersions: [] })).type, 'accepted')
  await waitUntil(() => this.playground!.gateways.every(gateway => gateway.configuration.view.findClass(name) !== undefined))
})

When('gateway {int} is asked to accept a job of {int} tokens', async function (this: JobsPathWorld, gateway: number, tokens: number) {
  await submitJob(this, gateway, tokens)
})

When('gateway {int} is asked to accept a job for {string}', async function (this: JobsPathWorld, gateway: number, model: string) {
  await submitJob(this, gateway, 5, model)
})

When('gateway {int} is asked to accept {int} jobs', async function (this: JobsPathWorld, gateway: number, count: number) {
  for (let index = 0; index < count; index++) await submitJob(this, gateway, 5)
})

When('gateway {int} is asked to cancel the job', async function (this: JobsPathWorld, gateway: number) {
  this.gateway = gateway - 1
  await this.call(`/v1/jobs/${this.jobId}`, undefined, {}, 'DELETE')
})

When('gateway {int} is asked for job {string}', async function (this: JobsPathWorld, gateway: number, id: string) {
  this.gateway = gateway - 1
  await this.call(`/v1/jobs/${id}`, undefined)
})

Then('gateway {int} shows the job as {string}, with {int} tokens', async function (this: JobsPathWorld, gateway: number, state: string, tokens: number) {
  await waitUntil(async () => (await readJob(this, gateway)).state === state)
  const { answer } = await readJob(this, gateway)
  assert.equal(answer!.body.choices[0]!.message.content.split(' t').length, tokens)
})

Then('gateway {int} shows the job as {string}', async function (this: JobsPathWorld, gateway: number, state: string) {
  assert.equal((await readJob(this, gateway)).state, state)
})

Then('gateway {int} lists {int} jobs in pages of {int}', async function (this: JobsPathWorld, gateway: number, count: number, limit: number) {
  this.gateway = gateway - 1
  const seen: string[] = []
  for (let after = ''; ;) {
    const page = JSON.parse((await this.call(`/v1/jobs?limit=${limit}&after=${after}`, undefined)).text) as JobPage
    assert.ok(page.data.length <= limit)
    seen.push(...page.data.map(job => job.id))
    if (!page.has_more) break
    after = page.last_id
  }
  assert.equal(new Set(seen).size, count)
  assert.equal(seen.length, count)
})
