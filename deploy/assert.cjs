// Takes the place of node:assert in the host's bundle, where undici, sonic-boom, thread-stream, extsprintf and assert-plus use it. Node's own
// also opens the terminal, which takes 4 ms of a start. `nameAssertions.mjs` adds the messages of undici.
class AssertionError extends Error {
  constructor ({ message, stackStartFunction = AssertionError }) {
    super(message)
    this.name = 'AssertionError'
    this.code = 'ERR_ASSERTION'
    Error.captureStackTrace(this, stackStartFunction)
  }
}

function assert (value, message) {
  if (!value) throw new AssertionError({ message: message ?? 'an assertion of a library does not hold', stackStartFunction: assert })
}
assert.AssertionError = AssertionError
assert.ok = assert
assert.equal = (left, right, message) => assert(left == right, message) // eslint-disable-line eqeqeq
assert.strictEqual = (left, right, message) => assert(Object.is(left, right), message)
assert.notStrictEqual = (left, right, message) => assert(!Object.is(left, right), message)
module.exports = assert
