import type { Socket } from 'node:net';

import { errors } from 'undici';

/**
 * Prepares the end of a client connection for undici:
 *
 * - A reset is reported as an error. An answer without a length is complete when its connection is closed,
 *   but not when it is reset, be it after its end. Node reports the end of the stream and no error when a
 *   reset arrives before the data has been read, and undici takes an error with the code of a reset for
 *   the end of the answer.
 * - The end is reported while the reader takes data. undici throws when a connection ends while it has
 *   paused its parser for a slow caller.
 *
 * @param socket - a connection whose peer address has not been read; Node would keep the address
 */
export function guardEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  const destroy = socket.destroy.bind(socket);
  let heldEnd: 'closed' | 'reset' | undefined;
  let isOffering = false;
  // A reader that has paused does not read when it is told that the connection is readable.
  const offerEnd = () => {
    if (!heldEnd || socket.destroyed) return;
    isOffering = true;
    try {
      socket.emit('readable');
    } finally {
      isOffering = false;
    }
  };
  const holdEnd = (end: 'closed' | 'reset') => {
    heldEnd = end;
    process.nextTick(offerEnd);
  };
  const releaseEnd = () => {
    const end = heldEnd;
    heldEnd = undefined;
    if (end === 'reset') destroy(createResetError());
    else push(null);
  };
  Object.assign(socket, {
    push(chunk: unknown, encoding?: BufferEncoding): boolean {
      if (chunk !== null) return push(chunk, encoding);
      holdEnd(wasReset(socket) ? 'reset' : 'closed');
      return false;
    },
    destroy(error?: NodeJS.ErrnoException): Socket {
      const isReset = error?.code === 'ECONNRESET' && error.syscall === 'read';
      if (!isReset || socket.destroyed || socket.readableLength === 0) return destroy(error);
      // The data in front of the reset may be the rest of an answer with a length.
      holdEnd('reset');
      return socket;
    },
    read(size?: number): unknown {
      // Node itself reads with a size, to fill the buffer.
      if (size !== undefined || !heldEnd) return read(size);
      if (!isOffering) process.nextTick(offerEnd);
      else if (socket.readableLength === 0) releaseEnd();
      return read();
    },
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') Object.assign(error, { code: createResetError().code });
  });
}

/** The operating system keeps the peer address of a connection that the peer closed, but not of one that was reset. */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

function createResetError(): errors.SocketError {
  return new errors.SocketError('the connection was reset by its peer');
}
