/** Carries datagrams between the VMs of a fleet; any of them may be lost. */
export abstract class Datagrams {
  /**
   * Begins to receive.
   *
   * @param receive - takes each datagram
   */
  abstract start(receive: (datagram: Buffer) => void): Promise<void>;

  /**
   * Sends a datagram.
   *
   * @param datagram - its content
   * @param host - IP number of the VM
   */
  abstract send(datagram: Buffer, host: string): void;

  /** Ends; later datagrams are dropped. */
  abstract stop(): void;
}
