/** The platform's object store. */

export interface ObjectStore {
  /** Rejects with a `PlatformUnavailable` error, in which case the object may or may not be stored. */
  writeObject: (key: string, bytes: Uint8Array) => Promise<void>
  /** Resolves to undefined if no such object exists. */
  readObject: (key: string) => Promise<Uint8Array | undefined>
  removeObject: (key: string) => Promise<void>
}
