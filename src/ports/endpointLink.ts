/** Sends requests to one endpoint. */

/**
 * How a request failed. `notSent`: nothing of it left this host; `lost`: the connection ended, or what came was no
 * answer, so that the request may have run.
 */
export type SendFailure = { readonly kind: 'notSent' | 'lost', readonly reason: string }

export interface AnswerReceiver {
  /** The request is being written to a connection; from now on it may run. */
  receiveSent: () => void
  receiveHead: (status: number, rawHeaders: readonly string[]) => void
  /** Returns false to hold the answer back until `resume`. */
  receiveData: (chunk: Buffer) => boolean
  /** The answer is whole. */
  receiveEnd: () => void
  receiveFailure: (failure: SendFailure) => void
}

export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
}

export interface Sending {
  /** Closes the connection, so that the endpoint stops its work; nothing is received any more. */
  cancel: () => void
  /** Goes on after `receiveData` returned false. */
  resume: () => void
}

/** `refused`: no process listens at the endpoint's address; `silent`: no word in time, which tells nothing. */
export type ProbeResult = 'open' | 'refused' | 'silent'

export interface EndpointLink {
  /** Requests under way. */
  readonly busy: number
  /** Whether another request finds a connection within the cap. */
  readonly hasRoom: boolean
  send: (request: OutgoingRequest, receiver: AnswerReceiver) => Sending
  /** Makes a connection and closes it. */
  probe: () => Promise<ProbeResult>
  close: () => void
}

export type OpenEndpointLink = (address: string) => EndpointLink
