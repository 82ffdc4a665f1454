/** Steps of the weight store's budget. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { LoadBudget } from '../../src/core/loadBudget.js'

interface BudgetWorld {
  budget: LoadBudget
}

function takeAll (budget: LoadBudget, nowMs: number): string {
  const names: string[] = []
  for (let load = budget.takeNext(nowMs); load; load = budget.takeNext(nowMs)) names.push(load.permitId)
  return names.join(', ')
}

Given('a load budget of {int} loads a second with {int} at full speed',
  function (this: BudgetWorld, loadsPerSecond: number, loadsAtFullSpeed: number) {
    this.budget = new LoadBudget({ loadsPerSecond, loadsAtFullSpeed }, 0)
  })

When('load {string} waits, needed at {int} ms', function (this: BudgetWorld, permitId: string, neededAtMs: number) {
  this.budget.addWaiting({ permitId, neededAtMs })
})

Then('the permits at {int} ms go to {string}', function (this: BudgetWorld, nowMs: number, names: string) {
  assert.equal(takeAll(this.budget, nowMs), names)
})

Then('after the permit of {string} is given back, the permits at {int} ms go to {string}',
  function (this: BudgetWorld, permitId: string, nowMs: number, names: string) {
    this.budget.releasePermit(permitId)
    assert.equal(takeAll(this.budget, nowMs), names)
  })
