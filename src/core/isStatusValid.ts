/** Tells responses from those whose status line says nothing that HTTP defines. */

/**
 * Whether a response has a status of HTTP. HTTP clients pass on any three digits; a response with another status than these says
 * nothing about its request, which may have run.
 *
 * @example
 * isStatusValid(600) // false
 */
export function isStatusValid (status: number): boolean {
  return status >= 100 && status <= 599
}
