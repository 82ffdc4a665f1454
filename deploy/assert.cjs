// Takes the place of node:assert in the host's bundle, where only undici calls it, for what holds in any case. Node's own
// also opens the terminal, which takes 4 ms of a start.
function assert (value, message) {
  if (!value) throw new Error(message ?? 'an assertion of a library does not hold')
}
assert.ok = assert
assert.equal = (left, right, message) => assert(left == right, message) // eslint-disable-line eqeqeq
assert.strictEqual = (left, right, message) => assert(Object.is(left, right), message)
assert.notStrictEqual = (left, right, message) => assert(!Object.is(left, right), message)
module.exports = assert
