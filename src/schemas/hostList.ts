/** Entries of the platform's list of hosts, engines and services, which lags behind their real state. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

export const presenceSchema = Type.Union([Type.Literal('live'), Type.Literal('leaving')])

export const schedulerEntrySchema = Type.Object({
  kind: Type.Literal('scheduler'),
  id: Type.String(),
  zone: Type.String(),
  /** `ip:port` of the peers' port. */
  address: Type.String(),
  presence: presenceSchema
})
export const gatewayEntrySchema = Type.Object({
  kind: Type.Literal('gateway'),
  id: Type.String(),
  zone: Type.String(),
  /** `ip:port` of the operators' port. */
  address: Type.String(),
  presence: presenceSchema
})
export const engineEntrySchema = Type.Object({
  kind: Type.Literal('engine'),
  id: Type.String(),
  zone: Type.String(),
  address: Type.String(),
  presence: presenceSchema,
  baseModel: Type.String(),
  /** How many adapters the engine can hold at once. */
  slots: Type.Integer(),
  /** How many requests the engine runs in one batch. */
  batchLimit: Type.Integer()
})
export const serviceEntrySchema = Type.Object({
  kind: Type.Literal('service'),
  id: Type.String(),
  zone: Type.String(),
  address: Type.String(),
  presence: presenceSchema,
  /** Name under which operators register the service. */
  service: Type.String()
})
export const hostListEntrySchema = Type.Union([
  schedulerEntrySchema, gatewayEntrySchema, engineEntrySchema, serviceEntrySchema
])
export type SchedulerEntry = Static<typeof schedulerEntrySchema>
export type GatewayEntry = Static<typeof gatewayEntrySchema>
export type EngineEntry = Static<typeof engineEntrySchema>
export type ServiceEntry = Static<typeof serviceEntrySchema>
export type HostListEntry = Static<typeof hostListEntrySchema>
