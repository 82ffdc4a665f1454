#!/usr/bin/env node
/** `sedgevalve-check`: checks a configuration of the platform before operators send it. */
import { readFileSync } from 'node:fs'
import { runCheck } from './runCheck.js'
import { writeToStderr } from '../writeToStderr.js'

// A reader such as `head` may close the pipe early; that is not an error.
process.stdout.on('error', () => process.exit())

process.exitCode = runCheck(process.argv.slice(2), {
  readFile: path => readFileSync(path),
  print: line => process.stdout.write(`${line}\n`),
  printError: line => writeToStderr(`${line}\n`)
})
