#!/usr/bin/env node
/** `sedgevalvectl`: the operators' client. */
import { readFileSync } from 'node:fs'
import { runClient } from '../ctl/runClient.js'

const abort = new AbortController()
process.once('SIGINT', () => abort.abort())
process.once('SIGTERM', () => abort.abort())
// A reader such as `head` that has seen enough is no fault.
process.stdout.on('error', () => process.exit(0))

process.exitCode = await runClient(process.argv.slice(2), {
  environment: process.env,
  signal: abort.signal,
  print: line => process.stdout.write(`${line}\n`),
  printNote: line => process.stderr.write(`${line}\n`),
  readFile: path => readFileSync(path === '-' ? 0 : path, 'utf8')
})
