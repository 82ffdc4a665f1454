// Takes the place of node:http2 in the host's bundle: undici loads it for connections that hosts do not make.
module.exports = { constants: {} }
