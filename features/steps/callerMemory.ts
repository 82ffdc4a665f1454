/** Steps of what bounds the memory that callers make a host hold. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { ByteBuffer } from '../../src/core/byteBuffer.js'
import { ConnectionBudget } from '../../src/core/connectionBudget.js'
import type { ConnectionShare } from '../../src/core/connectionBudget.js'

interface CallerMemoryWorld {
  budget: ConnectionBudget
  shares: Map<string, ConnectionShare>
  closed: string[]
}

Then('a byte buffer returns what was appended to it, and its last bytes, for any pieces of up to {int} bytes', function (maxBytes: number) {
  const piece = fc.tuple(fc.integer({ min: 0, max: maxBytes }), fc.nat(255)).map(([length, seed]) => Buffer.from(Uint8Array.from({ length }, (_, index) => (index * 31 + seed) & 255)))
  fc.assert(fc.property(fc.array(piece, { maxLength: 6 }), fc.double({ min: 0, max: 1, noNaN: true }), (pieces, fraction) => {
    const buffer = new ByteBuffer()
    for (const bytes of pieces) buffer.append(bytes)
    const whole = Buffer.concat(pieces)
    const count = Math.floor(fraction * whole.length)
    assert.equal(buffer.length, whole.length)
    assert.ok(buffer.readLast(count).equals(whole.subarray(whole.length - count)))
    assert.ok(buffer.take().equals(whole))
    assert.equal(buffer.length, 0)
  }), { numRuns: 60, seed: 1 })
})

Then('for any order of opens, additions and releases no more than {int} bytes and {int} connections are held, and the sum is that of the open ones', function (maxBytes: number, maxConnections: number) {
  const action = fc.tuple(fc.constantFrom('open', 'add', 'idle', 'release'), fc.nat(9), fc.integer({ min: 1, max: 700 }))
  fc.assert(fc.property(fc.array(action, { maxLength: 60 }), actions => {
    const budget = new ConnectionBudget({ maxBytes, maxConnections })
    const open = new Set<ConnectionShare>()
    for (const [kind, index, bytes] of actions) {
      const share = [...open][index % Math.max(1, open.size)]
      if (kind === 'open') {
        const opened: ConnectionShare = budget.open(() => { open.delete(opened) })
        open.add(opened)
      } else if (kind === 'add') share?.add(bytes)
      else if (kind === 'idle') share?.setIdle(bytes % 2 === 0)
      else if (share) {
        share.release()
        open.delete(share)
      }
      assert.ok(budget.heldBytes <= maxBytes && budget.connectionCount <= maxConnections)
      assert.equal(budget.connectionCount, open.size)
      assert.equal(budget.heldBytes, [...open].reduce((sum, { bytes: held }) => sum + held, 0))
    }
  }), { seed: 1 })
})

Given('a budget of {int} bytes and {int} connections', function (this: CallerMemoryWorld, maxBytes: number, maxConnections: number) {
  this.budget = new ConnectionBudget({ maxBytes, maxConnections })
  this.shares = new Map()
  this.closed = []
})

function openConnection (world: CallerMemoryWorld, name: string): void {
  world.shares.set(name, world.budget.open(() => { world.closed.push(name) }))
}

When('connections {string}, {string} and {string} hold {int}, {int} and {int} bytes', function (this: CallerMemoryWorld, first: string, second: string, third: string, firstBytes: number, secondBytes: number, thirdBytes: number) {
  for (const [name, bytes] of [[first, firstBytes], [second, secondBytes], [third, thirdBytes]] as const) {
    openConnection(this, name)
    if (bytes === 0) continue
    this.shares.get(name)!.setIdle(false)
    this.shares.get(name)!.add(bytes)
  }
})

When('{string} adds {int} bytes', function (this: CallerMemoryWorld, name: string, bytes: number) {
  this.shares.get(name)!.add(bytes)
})

When('connections {string} and {string} are opened', function (this: CallerMemoryWorld, first: string, second: string) {
  for (const name of [first, second]) openConnection(this, name)
})

Then('{string} is closed', function (this: CallerMemoryWorld, name: string) {
  assert.equal(this.closed.at(-1), name)
})
