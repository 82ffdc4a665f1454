/** `sedgevalvectl completion`: completion for bash. */
import type { AnyCommand, LocalCommand } from '../command.js'
import { sharedOptions } from '../command.js'

/** Builds the command from all others, so that what it completes is what there is. */
export function createCompletionCommand (listCommands: () => AnyCommand[]): LocalCommand {
  return {
    words: ['completion'],
    arguments: [],
    summary: 'prints completion for bash; run: source <(sedgevalvectl completion)',
    options: {},
    runLocally: context => context.print(renderCompletion(listCommands()))
  }
}

/**
 * Renders a bash function that completes commands, actions and options.
 *
 * @example
 * renderCompletion(commands) // '_sedgevalvectl () { ...'
 */
export function renderCompletion (commands: AnyCommand[]): string {
  const first = [...new Set(commands.map(command => command.words[0]!))]
  const actions = first.flatMap(word => {
    const words = commands.filter(command => command.words[0] === word && command.words.length > 1).map(command => command.words[1])
    return words.length === 0 ? [] : [`    ${word}) words='${words.join(' ')}' ;;`]
  })
  const options = commands.map(command => `    '${command.words.join(' ')}') words='${listOptions(command)}' ;;`)
  return `_sedgevalvectl () {
  local words='' current="\${COMP_WORDS[COMP_CWORD]}"
  if [[ $current == -* ]]; then
    case "\${COMP_WORDS[1]} \${COMP_WORDS[2]}" in
${options.map(line => line.replace(/^ {4}'(\S+)'\)/, "    '$1 '*)")).join('\n')}
    esac
  elif [[ $COMP_CWORD == 1 ]]; then
    words='${first.join(' ')}'
  elif [[ $COMP_CWORD == 2 ]]; then
    case "\${COMP_WORDS[1]}" in
${actions.join('\n')}
    esac
  fi
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -o default -F _sedgevalvectl sedgevalvectl`
}

function listOptions (command: AnyCommand): string {
  return Object.keys({ ...command.options, ...sharedOptions }).map(name => `--${name}`).join(' ')
}
