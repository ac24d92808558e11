import { assertInvariant } from './invariant.js';
import type { Service, Services } from './service.js';

/** Registry of a daemon's services by name; starts them in order and stops them in reverse. */
export class Kernel {
  private readonly services = new Map<string, Service>();

  private readonly started: Service[] = [];

  /**
   * Creates a kernel without services.
   *
   * @returns a new kernel
   */
  static create(): Kernel {
    return new Kernel();
  }

  /**
   * Registers a service. Services start in the order of registration.
   *
   * @param name - name under which other services find it
   * @param service - the service
   */
  register<Name extends keyof Services>(name: Name, service: Services[Name] & Service): void {
    assertInvariant(!this.services.has(name), `service ${String(name)} is registered twice`);
    this.services.set(name, service);
  }

  /**
   * Finds a service. Services look each other up when they start or later, not on creation.
   *
   * @param name - name under which it was registered
   * @returns the service
   */
  find<Name extends keyof Services>(name: Name): Services[Name] {
    const service = this.services.get(name);
    assertInvariant(service, `service ${String(name)} is not registered`);
    return service as unknown as Services[Name];
  }

  /**
   * Starts all services in the order of registration.
   *
   * @returns a promise that resolves when all have started
   */
  async start(): Promise<void> {
    for (const service of this.services.values()) {
      await service.start();
      this.started.push(service);
    }
  }

  /**
   * Stops the started services, the last one first.
   *
   * @returns a promise that resolves when all have stopped
   */
  async stop(): Promise<void> {
    for (const service of this.started.splice(0).reverse()) await service.stop();
  }
}
