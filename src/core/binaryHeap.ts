/** A priority queue on a binary heap. */

/**
 * Keeps values in a binary heap; adding and removing take logarithmic time.
 *
 * @example
 * const heap = new BinaryHeap<number>((left, right) => left < right)
 * heap.add(2)
 * heap.add(1)
 * heap.removeFirst() // 1
 */
export class BinaryHeap<T> {
  #values: T[] = []
  #isBefore: (left: T, right: T) => boolean

  constructor (isBefore: (left: T, right: T) => boolean) {
    this.#isBefore = isBefore
  }

  get size (): number {
    return this.#values.length
  }

  /** The value that is removed next; undefined if the heap is empty. */
  get first (): T | undefined {
    return this.#values[0]
  }

  add (value: T): void {
    const values = this.#values
    let index = values.push(value) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(value, values[parent]!)) break
      values[index] = values[parent]!
      index = parent
    }
    values[index] = value
  }

  removeFirst (): T | undefined {
    const first = this.#values[0]
    const last = this.#values.pop()
    if (this.#values.length > 0) this.#siftDownFromRoot(last!)
    return first
  }

  #siftDownFromRoot (value: T): void {
    const values = this.#values
    let index = 0
    for (let child = 1; child < values.length; child = 2 * index + 1) {
      if (child + 1 < values.length && this.#isBefore(values[child + 1]!, values[child]!)) child++
      if (!this.#isBefore(values[child]!, value)) break
      values[index] = values[child]!
      index = child
    }
    values[index] = value
  }
}
