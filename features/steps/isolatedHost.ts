/** Steps of a gateway that is cut off. */
import { Then, When } from '@cucumber/cucumber'
import type { SystemWorld } from '../support/world.js'
import { waitUntil } from '../support/waitUntil.js'

async function waitForHealth (world: SystemWorld, status: number): Promise<void> {
  await waitUntil(async () => (await fetch(`${world.callersUrl}/healthz`)).status === status)
}

When(/^the platform's table (goes down|is back)$/, function (this: SystemWorld, state: string) {
  this.playground!.standins.platformFaults.isTableDown = state === 'goes down'
})

When('every scheduler goes away', async function (this: SystemWorld) {
  await Promise.all(this.playground!.schedulers.splice(0).map(async scheduler => await scheduler.stop()))
})

When('callers ask until they are told code {string}', async function (this: SystemWorld, code: string) {
  await waitUntil(async () => (await this.call('/v1/models', undefined)).text.includes(`"code":"${code}"`))
})

Then('the gateway tells the balancer that it is not well', async function (this: SystemWorld) { await waitForHealth(this, 503) })

Then('the gateway tells the balancer that it is well', async function (this: SystemWorld) { await waitForHealth(this, 200) })
