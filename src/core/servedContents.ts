/** Contents that endpoints have answered, so that those that come often are not taken for what crashes endpoints. */

/** A content that was answered so often did not crash an endpoint that happens to end beneath it; chance spares one that does seldom more often. */
const trustedAnswers = 3
/** Contents that are remembered, some 60 bytes each. */
const maxContents = 8192

export class ServedContents {
  #answers = new Map<string, number>()

  record (content: string): void {
    const answers = this.#answers.get(content) ?? 0
    // Deleting first keeps the map in order of the last answer.
    this.#answers.delete(content)
    this.#answers.set(content, answers + 1)
    if (this.#answers.size > maxContents) this.#answers.delete(this.#answers.keys().next().value!)
  }

  isTrusted (content: string): boolean {
    return (this.#answers.get(content) ?? 0) >= trustedAnswers
  }
}
