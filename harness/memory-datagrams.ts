import { Datagrams } from '../src/fleet/datagrams.js';

type Receive = (datagram: Buffer) => void;

/** In-memory transport of a simulated fleet. */
export class MemoryDatagrams extends Datagrams {
  private constructor(
    private readonly listen: (receive: Receive) => void,
    private readonly carry: (host: string, datagram: Buffer) => void,
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
    this.listen(receive);
    await Promise.resolve();
  }

  override send(datagram: Buffer, host: string): void {
    this.carry(host, datagram);
  }

  override stop(): void {
    this.listen(() => undefined);
  }
}
