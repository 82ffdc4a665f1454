/** The live page's script on a document that knows as much of a browser as the script uses. */
import { readFileSync } from 'node:fs'
import { createContext, runInContext } from 'node:vm'

const pageFile = 'src/tasks/operators/page/livePage.html'

export class PageElement {
  readonly tagName: string
  className = ''
  value = ''
  hidden = false
  children: Array<PageElement | string> = []
  #listeners = new Map<string, (event: { preventDefault: () => void }) => void>()

  constructor (tagName: string) {
    this.tagName = tagName
  }

  get textContent (): string {
    return this.children.map(child => typeof child === 'string' ? child : child.textContent).join('')
  }

  set textContent (text: string) {
    this.children = [text]
  }

  append (...children: Array<PageElement | string>): void {
    this.children.push(...children)
  }

  replaceChildren (...children: Array<PageElement | string>): void {
    this.children = children
  }

  setAttribute (): void {}

  scrollIntoView (): void {}

  addEventListener (type: string, receive: (event: { preventDefault: () => void }) => void): void {
    this.#listeners.set(type, receive)
  }

  send (type: string): void {
    this.#listeners.get(type)?.({ preventDefault: () => {} })
  }
}

export class PageDocument {
  readonly createdTags: string[] = []
  #parts = new Map<string, PageElement>()
  #timers: NodeJS.Timeout[] = []
  #context: Record<string, unknown>

  /** Runs the script; `url` is where the page came from, such as `http://127.0.0.1:7481`. */
  constructor (url: string, key: string) {
    const script = /<script>([\s\S]*?)<\/script>/.exec(readFileSync(pageFile, 'utf8'))![1]!
    const addTimer = (timer: NodeJS.Timeout): void => { this.#timers.push(timer) }
    this.#context = createContext({
      AbortController,
      TextDecoderStream,
      document: {
        hidden: false,
        getElementById: (id: string) => this.find(id),
        createElement: (name: string) => {
          this.createdTags.push(name)
          return new PageElement(name)
        }
      },
      sessionStorage: { getItem: () => key, setItem: () => {} },
      fetch: async (path: string, options: RequestInit) => await fetch(`${url}${path}`, options),
      setInterval: (run: () => void, ms: number) => addTimer(setInterval(run, ms)),
      setTimeout: (run: () => void, ms: number) => addTimer(setTimeout(run, ms))
    }) as Record<string, unknown>
    runInContext(script, this.#context)
  }

  /** Returns the element with an id; the page writes into it. */
  find (id: string): PageElement {
    const part = this.#parts.get(id) ?? new PageElement(id)
    this.#parts.set(id, part)
    return part
  }

  /** Calls a function of the script. */
  call (name: string, argument: unknown): void {
    const run = this.#context[name] as (argument: unknown) => void
    run(argument)
  }

  close (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    runInContext('state.watch?.abort()', this.#context)
  }
}
