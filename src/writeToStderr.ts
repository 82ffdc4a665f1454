/** Writes to stderr for programs that run on without it. */

/**
 * Writes a text to stderr. What cannot be written, as its reader is gone or its disk is full, is lost.
 *
 * @example
 * writeToStderr('sedgevalve-host: the settings file cannot be read\n')
 */
export function writeToStderr (text: string): void {
  // Node.js reports what cannot be written by an event, which ends a process that does not listen for it.
  if (process.stderr.listenerCount('error') === 0) process.stderr.on('error', () => {})
  process.stderr.write(text)
}
