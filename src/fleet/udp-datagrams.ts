import { createSocket, type Socket } from 'node:dgram';

import type { Address } from '../domain/vm.js';
import { Datagrams } from './datagrams.js';

/** Transport over UDP; all VMs use the same port. */
export class UdpDatagrams extends Datagrams {
  private socket: Socket | undefined;

  private constructor(
    private readonly address: Address,
    private readonly warn: (error: string) => void,
  ) {
    super();
  }

  /**
   * Creates a transport without opening the socket.
   *
   * @param address - local address to bind; its port is also the destination port
   * @param warn - called with the message of each socket error
   * @returns a transport that has not started
   */
  static create(address: Address, warn: (error: string) => void): UdpDatagrams {
    return new UdpDatagrams(address, warn);
  }

  override async start(receive: (datagram: Buffer) => void): Promise<void> {
    const socket = createSocket('udp4');
    socket.on('message', receive);
    socket.on('error', (error) => this.warn(error.message));
    await new Promise<void>((resolve) => {
      socket.bind(this.address.port, this.address.host, resolve);
    });
    this.socket = socket;
  }

  override send(datagram: Buffer, host: string): void {
    this.socket?.send(datagram, this.address.port, host, (error) => {
      if (error) this.warn(error.message);
    });
  }

  override stop(): void {
    this.socket?.close();
    this.socket = undefined;
  }
}
