/** Sends where this host's streams were begun to the hosts that write it to the store, until one confirms it. */
import { rankStreamRecorders } from '../../core/streamRecorders.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { HostRow } from '../../schemas/hostRows.js'
import type { StreamRecord, StreamRecords } from '../../schemas/streamRows.js'

export interface StreamRecordClientOptions {
  clock: Clock
  listHosts: () => readonly HostRow[]
  /** Sends a message to a host, which may be this one. */
  send: (address: string, message: StreamRecords) => void
}

/** Interval of checks for records that no recorder has confirmed: a batch and a slow response of the store. */
const resendIntervalMs = 350
/** A record is sent to this many recorders in turn, then to the first one again, and given up after some seconds. */
const maxRecorders = 3
const maxSends = 12
/** Records of about 90 bytes in one message, so that a datagram fits into one Ethernet frame. */
const maxRecordsPerMessage = 12
/** Records that wait for a confirmation; those of some seconds. */
const maxUnconfirmed = 4096

interface UnconfirmedRecord {
  record: StreamRecord
  sends: number
}

export class StreamRecordClient {
  #options: StreamRecordClientOptions
  #unconfirmed = new Map<string, UnconfirmedRecord>()
  #timer: Timer | undefined

  constructor (options: StreamRecordClientOptions) {
    this.#options = options
  }

  record (records: readonly StreamRecord[]): void {
    const added = records.map(record => ({ record, sends: 0 }))
    for (const unconfirmed of added) {
      this.#unconfirmed.set(unconfirmed.record.key, unconfirmed)
      if (this.#unconfirmed.size > maxUnconfirmed) this.#unconfirmed.delete(this.#unconfirmed.keys().next().value!)
    }
    this.#send(added)
  }

  receiveSaved (keys: readonly string[]): void {
    for (const key of keys) this.#unconfirmed.delete(key)
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #send (unconfirmed: readonly UnconfirmedRecord[]): void {
    const hosts = this.#options.listHosts()
    const byAddress = new Map<string, StreamRecord[]>()
    for (const entry of unconfirmed) {
      const recorders = rankStreamRecorders(entry.record.key, hosts).slice(0, maxRecorders)
      const recorder = recorders[entry.sends++ % Math.max(1, recorders.length)]
      if (recorder) byAddress.set(recorder.address, [...byAddress.get(recorder.address) ?? [], entry.record])
    }
    for (const [address, records] of byAddress) {
      for (let start = 0; start < records.length; start += maxRecordsPerMessage) this.#options.send(address, { type: 'streams', records: records.slice(start, start + maxRecordsPerMessage) })
    }
    if (this.#unconfirmed.size > 0) this.#timer ??= this.#options.clock.setTimer(() => this.#resend(), resendIntervalMs)
  }

  #resend (): void {
    this.#timer = undefined
    for (const [key, { sends }] of this.#unconfirmed) if (sends >= maxSends) this.#unconfirmed.delete(key)
    this.#send([...this.#unconfirmed.values()])
  }
}
