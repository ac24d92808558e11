import { Datagrams } from '../src/fleet/datagrams.js';

type Receive = (datagram: Buffer) => void;

/** In-memory datagram transport of a simulated fleet. */
export class MemoryDatagrams extends Datagrams {
  private constructor(
    private readonly setReceiver: (receive: Receive) => void,
    private readonly deliver: (host: string, datagram: Buffer) => void,
  ) {
    super();
  }

  /** Creates the transport of one VM. */
  static create(
    listen: (receive: Receive) => void,
    carry: (host: string, datagram: Buffer) => void,
  ): MemoryDatagrams {
    return new MemoryDatagrams(listen, carry);
  }

  override async start(receive: Receive): Promise<void> {
    this.setReceiver(receive);
    await Promise.resolve();
  }

  override send(datagram: Buffer, host: string): void {
    this.deliver(host, datagram);
  }

  override stop(): void {
    this.setReceiver(() => undefined);
  }
}
