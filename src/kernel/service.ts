/** A part of the daemon that the kernel starts, stops and makes known by name. */
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
   * Finishes what was begun and closes sockets.
   *
   * @returns a promise that resolves when nothing of the service runs any more
   */
  async stop(): Promise<void> {
    await Promise.resolve();
  }
}

/** Types of the services by name; each service module adds its own entry. */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type
export interface Services {}
