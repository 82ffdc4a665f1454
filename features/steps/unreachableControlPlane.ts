/** Steps for a gateway without access to the table and schedulers. */
import { Then, When } from '@cucumber/cucumber'
import type { SystemWorld } from '../support/world.js'
import { waitUntil } from '../support/waitUntil.js'

async function waitForHealthStatus (world: SystemWorld, status: number): Promise<void> {
  await waitUntil(async () => (await fetch(`${world.callersUrl}/healthz`)).status === status)
}

When(/^the platform's table (goes down|is back)$/, function (this: SystemWorld, state: string) {
  this.playground!.standins.platformFaults.isTableDown = state === 'goes down'
})

When('every scheduler stops', async function (this: SystemWorld) {
  await Promise.all(this.playground!.schedulers.splice(0).map(async scheduler => await scheduler.stop()))
})

When('callers send requests until the answer has code {string}', async function (this: SystemWorld, code: string) {
  await waitUntil(async () => (await this.call('/v1/models', undefined)).text.includes(`"code":"${code}"`))
})

Then('the gateway\'s health check fails', async function (this: SystemWorld) { await waitForHealthStatus(this, 503) })

Then('the gateway\'s health check succeeds', async function (this: SystemWorld) { await waitForHealthStatus(this, 200) })
