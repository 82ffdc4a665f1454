/** Faults of one kind that overlap on one thing: the newest that still lasts is in force. */
export class FaultStack<Fault> {
  #apply: (fault: Fault) => void
  #none: Fault
  #active: { fault: Fault }[] = []

  constructor (none: Fault, apply: (fault: Fault) => void) {
    this.#none = none
    this.#apply = apply
  }

  /** Puts a fault in force; the function that it returns ends it. */
  add (fault: Fault): () => void {
    const entry = { fault }
    this.#active.push(entry)
    this.#apply(fault)
    return () => {
      this.#active = this.#active.filter(other => other !== entry)
      this.#apply(this.#active.at(-1)?.fault ?? this.#none)
    }
  }
}
