/** `sedgevalvectl job`: work that may wait. */
import type { JobPage, JobStory, OperatorJob } from '../../tasks/operators/jobRoutes.js'
import { createClientError } from '../clientError.js'
import { readOption } from '../command.js'
import type { Command, CommandContext } from '../command.js'
import { formatCell, renderTable } from '../renderTable.js'
import { renderStory } from './explainCommand.js'

const defaultLimit = 100

export const jobCommands: Command[] = [
  {
    words: ['job', 'list'],
    arguments: [],
    summary: 'lists jobs, the first hundred unless --limit says more',
    options: {
      caller: { type: 'string', help: 'jobs of this caller alone, named as its key is' },
      limit: { type: 'string', help: 'how many jobs to list' }
    },
    run: listJobs
  },
  {
    words: ['job', 'show'],
    arguments: ['CALLER', 'JOB'],
    summary: 'shows one job',
    options: {},
    run: async context => printJob(context, await context.client.read(formatJobPath(context)) as OperatorJob)
  },
  {
    words: ['job', 'explain'],
    arguments: ['CALLER', 'JOB'],
    summary: 'tells a job\'s whole way: when it was accepted, how long it waited, and the story of each run',
    options: {},
    run: async context => printJobStory(context, await context.client.read(`${formatJobPath(context)}/story`) as JobStory)
  },
  {
    words: ['job', 'remove'],
    arguments: ['CALLER', 'JOB'],
    summary: 'cancels a job that has not ended',
    options: {},
    run: async context => printJob(context, await context.client.remove(formatJobPath(context)) as OperatorJob)
  }
]

async function listJobs (context: CommandContext): Promise<void> {
  const limit = readLimit(context)
  const caller = readOption(context.values, 'caller')
  const jobs: OperatorJob[] = []
  for (let after: string | undefined = ''; after !== undefined && jobs.length < limit;) {
    const query = new URLSearchParams({ ...(caller !== undefined && { caller }), after, limit: String(Math.min(defaultLimit, limit - jobs.length)) })
    const page = await context.client.read(`/api/jobs?${query}`) as JobPage
    jobs.push(...page.jobs)
    after = page.next
  }
  if (context.isJson) context.print(JSON.stringify(jobs))
  else context.print(renderTable(['caller', 'job', 'state', 'class', 'model', 'due'], jobs.map(job => [job.caller, job.id, job.state, job.className, `${job.adapter}@${job.version}`, job.dueAt])))
}

function readLimit (context: CommandContext): number {
  const text = readOption(context.values, 'limit') ?? String(defaultLimit)
  if (!/^[1-9]\d{0,6}$/.test(text)) throw createClientError('usage', `--limit "${text}" is wrong; expected a whole number from 1`)
  return Number(text)
}

function formatJobPath (context: CommandContext): string {
  return `/api/jobs/${context.positionals.map(encodeURIComponent).join('/')}`
}

function printJob (context: CommandContext, job: OperatorJob): void {
  if (context.isJson) context.print(JSON.stringify(job))
  else Object.entries(job).forEach(([name, value]) => context.print(`${name}: ${formatCell(value)}`))
}

function printJobStory (context: CommandContext, story: JobStory): void {
  if (context.isJson) context.print(JSON.stringify(story))
  else renderJobStory(story).forEach(line => context.print(formatCell(line)))
}

/** Renders a job's whole way as lines for people. */
export function renderJobStory ({ job, steps, runs, silentHosts }: JobStory): string[] {
  return [
    `job:      ${job.id} of caller "${job.caller}", ${job.state}`,
    `model:    ${job.adapter}@${job.version}`,
    `class:    ${job.className}`,
    `accepted: ${job.acceptedAt}, due ${job.dueAt}`,
    ...(job.runner === undefined ? [] : [`runner:   ${job.runner}`]),
    ...(job.failure === undefined ? [] : [`failure:  ${job.failure}`]),
    ...(steps.length > 0 ? ['steps:'] : ['steps: none is remembered any longer']),
    ...steps.map(({ atMs, host, step, reason }) => `  ${new Date(atMs).toISOString()} ${host} ${step}: ${reason}`),
    ...runs.flatMap((run, index) => [`run ${index + 1} of those told:`, ...renderStory(run).map(line => `  ${line}`)]),
    ...(silentHosts.length > 0 ? [`no answer from: ${silentHosts.join(', ')}; what they know is missing`] : [])
  ]
}
