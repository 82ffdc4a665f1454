#!/usr/bin/env node
/** `sedgevalvectl`: the command-line client for operators. */
import { readFileSync } from 'node:fs'
import { runClient } from '../ctl/runClient.js'

const abortController = new AbortController()
process.once('SIGINT', () => abortController.abort())
process.once('SIGTERM', () => abortController.abort())
// A reader such as `head` may close the pipe early; that is not an error.
process.stdout.on('error', () => process.exit(0))

process.exitCode = await runClient(process.argv.slice(2), {
  environment: process.env,
  signal: abortController.signal,
  print: line => process.stdout.write(`${line}\n`),
  printNote: line => process.stderr.write(`${line}\n`),
  readFile: path => readFileSync(path === '-' ? 0 : path, 'utf8')
})
