/** Steps for the load budget of the weight store. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { LoadBudget } from '../../src/core/loadBudget.js'

interface BudgetWorld {
  budget: LoadBudget
}

function grantAllPermits (budget: LoadBudget, nowMs: number): string {
  const permitIds: string[] = []
  for (let load = budget.grantNextPermit(nowMs); load; load = budget.grantNextPermit(nowMs)) permitIds.push(load.permitId)
  return permitIds.join(', ')
}

Given('a load budget of {int} loads per second and {int} concurrent loads',
  function (this: BudgetWorld, loadsPerSecond: number, loadsAtFullSpeed: number) {
    this.budget = new LoadBudget({ loadsPerSecond, loadsAtFullSpeed }, 0)
  })

When('load {string} waits, needed at {int} ms', function (this: BudgetWorld, permitId: string, neededAtMs: number) {
  this.budget.addWaiting({ permitId, neededAtMs })
})

Then('the permits at {int} ms are granted to {string}', function (this: BudgetWorld, nowMs: number, permitIds: string) {
  assert.equal(grantAllPermits(this.budget, nowMs), permitIds)
})

Then('after the permit of {string} is released, the permits at {int} ms are granted to {string}',
  function (this: BudgetWorld, permitId: string, nowMs: number, permitIds: string) {
    this.budget.releasePermit(permitId)
    assert.equal(grantAllPermits(this.budget, nowMs), permitIds)
  })
