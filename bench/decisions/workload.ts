/** What the bench runs: the users' deployments at today's sizes, and the shape of a trace of requests. */
import type { Target } from '../../src/schemas/configuration.js'

export interface WorkClass {
  name: string
  target: Target
  /** Part of all requests, 0 to 1. */
  share: number
  meanPromptTokens: number
  meanTokens: number
  /** Mean number of requests that one caller sends to one adapter in a row. */
  meanSession: number
  /** Mean time between two requests of a session, in milliseconds. */
  sessionGapMs: number
  /** Whether the whole work of the class comes as one batch at the start. */
  isBatch: boolean
}

export interface Deployment {
  name: string
  engines: number
  hosts: number
  zones: number
  slots: number
  batchLimit: number
  adapters: number
  /** Exponent of the Zipf distribution of popularity. */
  skew: number
  loadMs: number
  loadsPerSecond: number
  loadsAtFullSpeed: number
  /** How full batches are to be; 0 where load stalls weigh more. */
  batchFillTarget: number
  classes: WorkClass[]
}

/** The stand-in engine's time model. */
export const engineTimes = Object.freeze({ stepBaseMs: 18, stepPerRequestMs: 0.5, prefillPerTokenMs: 0.05 })

const engineShape = { slots: 8, batchLimit: 16, adapters: 3000, skew: 1.2, loadMs: 650 }

export const scutire: Deployment = {
  name: 'scutire',
  engines: 8,
  hosts: 8,
  zones: 3,
  ...engineShape,
  loadsPerSecond: 4.5,
  loadsAtFullSpeed: 3,
  batchFillTarget: 0,
  classes: [
    {
      name: 'counter',
      target: { kind: 'firstTokenWithin', ms: 2000 },
      share: 0.6,
      meanPromptTokens: 400,
      meanTokens: 150,
      meanSession: 3,
      sessionGapMs: 6000,
      isBatch: false
    },
    {
      name: 'dossier',
      target: { kind: 'finishWithin', ms: 120_000 },
      share: 0.2,
      meanPromptTokens: 1500,
      meanTokens: 300,
      meanSession: 2,
      sessionGapMs: 5000,
      isBatch: false
    },
    {
      name: 'overnight',
      target: { kind: 'finishByTimeOfDay', time: '00:05' },
      share: 0.2,
      meanPromptTokens: 1000,
      meanTokens: 200,
      meanSession: 10,
      sessionGapMs: 50,
      isBatch: true
    }
  ]
}

export const blueMahoe: Deployment = {
  name: 'bluemahoe',
  engines: 6,
  hosts: 7,
  zones: 4,
  ...engineShape,
  loadsPerSecond: 3,
  loadsAtFullSpeed: 2,
  batchFillTarget: 0.9,
  classes: [
    {
      name: 'lesson',
      target: { kind: 'firstTokenWithin', ms: 3000 },
      share: 0.45,
      meanPromptTokens: 300,
      meanTokens: 250,
      meanSession: 4,
      sessionGapMs: 8000,
      isBatch: false
    },
    {
      name: 'question',
      target: { kind: 'finishWithin', ms: 60_000 },
      share: 0.3,
      meanPromptTokens: 300,
      meanTokens: 300,
      meanSession: 2,
      sessionGapMs: 5000,
      isBatch: false
    },
    {
      name: 'review',
      target: { kind: 'finishWithin', ms: 150_000 },
      share: 0.25,
      meanPromptTokens: 2000,
      meanTokens: 600,
      meanSession: 3,
      sessionGapMs: 500,
      isBatch: false
    }
  ]
}

export interface TraceRequest {
  id: string
  atMs: number
  adapter: string
  workClass: WorkClass
  callerName: string
  promptTokens: number
  maxTokens: number
}

export type TraceEvent =
  | { atMs: number, kind: 'engineRestarts', engine: number }
  | { atMs: number, kind: 'storeSlows', factor: number }

export interface Trace {
  name: string
  deployment: Deployment
  seed: number
  requests: TraceRequest[]
  events: TraceEvent[]
  /** Requests that arrive before this time are run but not measured. */
  warmUpMs: number
  endMs: number
  /** How often a caller that was refused comes back after `Retry-After`. */
  maxReturns: number
}
