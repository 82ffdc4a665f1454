// Takes the place of `undici` in the host's bundle: the whole library also loads fetch, web sockets and caches, which
// takes 50 ms of a start and 10 MB.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js')

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request.js')

exports.Agent = require('../node_modules/undici/lib/dispatcher/agent.js')
exports.Client = require('../node_modules/undici/lib/dispatcher/client.js')
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool.js')
exports.buildConnector = require('../node_modules/undici/lib/core/connect.js')
