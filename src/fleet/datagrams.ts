/** Unreliable transport between the VMs of a fleet: any datagram may be lost. */
export abstract class Datagrams {
  /**
   * Opens the transport and starts to receive datagrams.
   *
   * @param receive - called with each datagram received
   */
  abstract start(receive: (datagram: Buffer) => void): Promise<void>;

  /**
   * Sends a datagram without confirmation of its delivery.
   *
   * @param datagram - bytes to send
   * @param host - IP address of the receiver
   */
  abstract send(datagram: Buffer, host: string): void;

  /** Stops the transport; later datagrams are dropped. */
  abstract stop(): void;
}
