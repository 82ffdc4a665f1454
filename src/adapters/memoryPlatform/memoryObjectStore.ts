/** In-memory object store. */
import type { ObjectStore } from '../../ports/objectStore.js'

export class MemoryObjectStore implements ObjectStore {
  #objects = new Map<string, Uint8Array>()

  /** Keys of all stored objects. */
  get keys (): string[] {
    return [...this.#objects.keys()]
  }

  async writeObject (key: string, bytes: Uint8Array): Promise<void> {
    this.#objects.set(key, Uint8Array.from(bytes))
  }

  async readObject (key: string): Promise<Uint8Array | undefined> {
    return this.#objects.get(key)
  }

  async removeObject (key: string): Promise<void> {
    this.#objects.delete(key)
  }
}
