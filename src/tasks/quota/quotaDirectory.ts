/** The quotas of the configuration in force, and the hosts that grant their tokens. */
import { rankQuotaGranters } from '../../core/quota/quotaGranters.js'
import { computeHash, PairHasher } from '../../core/rendezvousHash.js'
import { computeQuotaTerms } from '../../core/quota/quotaTerms.js'
import type { QuotaTerms } from '../../core/quota/quotaTerms.js'
import type { HostRow } from '../../schemas/hostRows.js'
import type { QuotaBounds } from '../../schemas/hostSettings.js'
import type { AccountQuota, ClientAccount } from '../../schemas/routing.js'

export type QuotaHost = Pick<HostRow, 'host' | 'address' | 'session' | 'isLeaving'>

export interface KnownQuota {
  readonly quota: AccountQuota
  readonly terms: QuotaTerms
  readonly group: number
}

/**
 * Number of groups of accounts, each with a granter: one host cannot answer the reports of all others beside its own requests. It is
 * fixed, as accounts would move to other granters with it.
 */
const groupCount = 8
/** The highest number of hosts known within this time counts, as hosts that have left a table may still run. */
const hostCountMemoryMs = 600_000

export class QuotaDirectory {
  #bounds: QuotaBounds
  #listHosts: () => readonly QuotaHost[]
  #quotas = new Map<string, KnownQuota>()
  #hasher = new PairHasher()
  #groupCount = 0
  #granters: QuotaHost[][] = []
  #hostCount = 0
  /** Highest number of hosts of the current and the former half of the memory. */
  #highest = { current: 0, former: 0, startedAtMs: 0 }

  constructor (bounds: QuotaBounds, listHosts: () => readonly QuotaHost[]) {
    this.#bounds = bounds
    this.#listHosts = listHosts
  }

  get groupCount (): number {
    return this.#groupCount
  }

  find (account: string): KnownQuota | undefined {
    return this.#quotas.get(account)
  }

  /** Returns the granter of a group and its deputy. */
  listGranters (group: number): readonly QuotaHost[] {
    return this.#granters[group] ?? []
  }

  applyAccounts (accounts: readonly ClientAccount[]): void {
    const limited = accounts.filter(({ quota }) => quota)
    this.#groupCount = limited.length > 0 ? groupCount : 0
    this.#quotas = new Map(limited.map(({ name, quota }) => [name, { quota: quota!, terms: computeQuotaTerms(quota!, this.#bounds), group: computeHash(name) % groupCount }]))
  }

  /** Ranks the hosts that the cluster view has now. */
  applyHosts (nowMs: number): void {
    const hosts = this.#listHosts()
    this.#granters = Array.from({ length: this.#groupCount }, (_, group) => rankQuotaGranters(group, hosts, this.#hasher))
    this.#hostCount = hosts.length
    this.getHighestHostCount(nowMs)
    this.#highest.current = Math.max(this.#highest.current, hosts.length)
  }

  getHighestHostCount (nowMs: number): number {
    if (nowMs - this.#highest.startedAtMs > hostCountMemoryMs / 2) this.#highest = { current: this.#hostCount, former: this.#highest.current, startedAtMs: nowMs }
    return Math.max(this.#highest.current, this.#highest.former)
  }

  /** Part of the rates that the known hosts may use: if most hosts have left the table, they may go on apart from these. */
  computeHostsShare (nowMs: number): number {
    const highest = this.getHighestHostCount(nowMs)
    return highest === 0 ? 0 : this.#hostCount > highest / 2 ? 1 : this.#hostCount / highest
  }
}
