import { createSocket, type Socket } from 'node:dgram';

import type { Address } from '../domain/vm.js';
import { Datagrams } from './datagrams.js';

/** Datagrams by UDP; the port is the same on all VMs. */
export class UdpDatagrams extends Datagrams {
  private socket: Socket | undefined;

  private constructor(
    private readonly address: Address,
    private readonly warn: (error: string) => void,
  ) {
    super();
  }

  /**
   * Prepares a socket.
   *
   * @param address - where datagrams arrive
   * @param warn - takes the errors of the socket
   * @returns datagrams that have not started
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
