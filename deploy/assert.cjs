// Takes the place of node:assert in the host's bundle, where only undici calls it. Node's own also opens the terminal, which takes
// 4 ms of a start. `nameAssertions.mjs` adds the messages.
function assert (value, message) {
  if (value) return
  const error = new Error(message ?? 'an assertion of a library does not hold')
  Error.captureStackTrace(error, assert)
  throw Object.assign(error, { name: 'AssertionError', code: 'ERR_ASSERTION' })
}
assert.ok = assert
assert.equal = (left, right, message) => assert(left == right, message) // eslint-disable-line eqeqeq
assert.strictEqual = (left, right, message) => assert(Object.is(left, right), message)
assert.notStrictEqual = (left, right, message) => assert(!Object.is(left, right), message)
module.exports = assert
