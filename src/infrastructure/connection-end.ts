import type { Socket } from 'node:net';

import { errors } from 'undici';

/**
 * Makes a client connection report resets as errors. An answer without a length is complete when its
 * connection is closed, but not when it is reset.
 *
 * Node reports the end of the stream and no error when a reset arrives before the data has been read.
 * undici takes an error with the code of a reset for the end of the answer.
 *
 * @param socket - a connection whose peer address has not been read; Node would keep the address
 */
export function reportResets(socket: Socket): void {
  const push = socket.push.bind(socket);
  Object.assign(socket, {
    push(chunk: unknown, encoding?: BufferEncoding): boolean {
      if (chunk !== null || !wasReset(socket)) return push(chunk, encoding);
      socket.destroy(createResetError());
      return false;
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
