import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';

/** A UDP receiver for StatsD datagrams. */
export interface DatagramReceiver {
  readonly port: number;
  /** All datagrams received so far, joined by newlines. */
  readonly text: () => string;
  readonly close: () => void;
}

/**
 * Binds a receiver to a free port.
 *
 * @returns the receiver, already listening
 */
export async function receiveDatagrams(): Promise<DatagramReceiver> {
  const socket: Socket = createSocket('udp4');
  const received: string[] = [];
  socket.on('message', (message) => received.push(message.toString('latin1')));
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return {
    port: socket.address().port,
    text: () => received.join('\n'),
    close: () => socket.close(),
  };
}
