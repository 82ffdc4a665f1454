/** Steps for writes whose response is lost. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import type { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { Table } from '../../src/ports/table.js'
import { TableWriter } from '../../src/tasks/table/tableWriter.js'
import type { FindWriteOutcome, WriteResult } from '../../src/tasks/table/tableWriter.js'
import { takeTableDownOnFault, findWriteOutcomeWithoutFencing } from '../support/tableFaults.js'
import { settle } from '../support/settle.js'
import { createVirtualPlatform } from '../support/virtualPlatform.js'

interface WriterWorld {
  clock: VirtualClock
  faults: PlatformFaults
  rows: MemoryTable
  writer: TableWriter
  result: WriteResult
}

function createWriter (world: WriterWorld, findWriteOutcome?: FindWriteOutcome): void {
  const { clock, faults, rows, table } = createVirtualPlatform()
  Object.assign(world, { clock, faults, rows })
  world.writer = new TableWriter({ table, clock, ...(findWriteOutcome && { findWriteOutcome }) })
}

async function countRows (table: Table, prefix: string): Promise<number> {
  return (await table.listRows({ prefix, after: '', limit: 100 })).length
}

Given('a table writer', function (this: WriterWorld) { createWriter(this) })

Given('a table writer that does not fence', function (this: WriterWorld) { createWriter(this, findWriteOutcomeWithoutFencing) })

Given('the platform\'s fault {string} is set to {int}', function (this: WriterWorld, fault: 'lostAnswers', value: number) {
  this.faults[fault] = value
})

Given('the table goes down as soon as the response is lost', function (this: WriterWorld) {
  takeTableDownOnFault('lostAnswers', this.faults)
})

When('the row {string} is written', async function (this: WriterWorld, key: string) {
  this.result = await settle(this.clock, this.writer.write({ checks: [], writes: [{ key, value: 1 }] }))
})

Then('the writer reports {string}', function (this: WriterWorld, verdict: string) {
  assert.equal(this.result.verdict, verdict)
})

Then('after {int} seconds the row {string} is {word}', async function (this: WriterWorld, seconds: number, key: string, state: string) {
  await this.clock.runUntilSettled(this.clock.readMonotonic() + seconds * 1000)
  assert.equal(await countRows(this.rows, key), state === 'present' ? 1 : 0)
})

Then('once the table is back the writer reports {string}', async function (this: WriterWorld, verdict: string) {
  assert.ok(this.result.verdict === 'unknown')
  this.faults.isTableDown = false
  const result = await settle(this.clock, this.writer.resolve(this.result.pending, 1000))
  assert.equal(result.verdict, verdict)
})

Then('the table holds {int} token(s)', async function (this: WriterWorld, count: number) {
  assert.equal(await countRows(this.rows, 'tokens/'), count)
})
