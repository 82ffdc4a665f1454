/** Every command of the client. */
import type { AnyCommand } from './command.js'
import { adapterCommands } from './commands/adapterCommands.js'
import { classCommands } from './commands/classCommands.js'
import { createCompletionCommand } from './commands/completionCommand.js'
import { endpointCommands } from './commands/endpointCommands.js'
import { explainCommand } from './commands/explainCommand.js'
import { jobCommands } from './commands/jobCommands.js'
import { keyCommands } from './commands/keyCommands.js'
import { logsCommand } from './commands/logsCommand.js'
import { serviceCommands } from './commands/serviceCommands.js'
import { dumpCommand, statusCommand } from './commands/statusCommand.js'
import { versionCommands } from './commands/versionCommands.js'
import { watchCommand } from './commands/watchCommand.js'

export const allCommands: AnyCommand[] = [
  statusCommand, explainCommand, watchCommand, dumpCommand, logsCommand,
  ...classCommands, ...adapterCommands, ...versionCommands, ...serviceCommands, ...endpointCommands, ...keyCommands, ...jobCommands,
  createCompletionCommand(() => allCommands)
]
