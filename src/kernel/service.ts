/** A component of the daemon that the kernel starts, stops and looks up by name. */
export abstract class Service {
  /**
   * Opens sockets and starts tasks.
   *
   * @returns a promise that resolves when the service can be used
   */
  async start(): Promise<void> {
    await Promise.resolve();
  }

  /**
   * Finishes work in progress and closes sockets.
   *
   * @returns a promise that resolves when the service has stopped completely
   */
  async stop(): Promise<void> {
    await Promise.resolve();
  }
}

/** Service types by name; each service module adds its entry by declaration merging. */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type
export interface Services {}
