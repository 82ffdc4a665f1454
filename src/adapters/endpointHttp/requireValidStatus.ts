/** Rejects responses whose status is not valid. */
import type { Dispatcher } from 'undici'
import VError from 'verror'
import { isStatusValid } from '../../core/isStatusValid.js'

/**
 * Throws if the status of a response is not valid, and closes its connection without reading the body.
 *
 * @example
 * requireValidStatus(await pool.request({ method: 'GET', path: '/report' }))
 */
export function requireValidStatus ({ statusCode, body }: Dispatcher.ResponseData): void {
  if (isStatusValid(statusCode)) return
  // The error that the body emits is thrown below.
  body.on('error', () => {}).destroy()
  throw new VError('the response has status %d, which is not valid', statusCode)
}
