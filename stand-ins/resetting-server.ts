import { createServer, type AddressInfo } from 'node:net';

/** Longest time from an answer to the reset of its connection, in milliseconds. */
const MAX_DELAY_MS = 6;

/** Number of different delays; the answers go through them in turn. */
const DELAYS = 25;

let answers = 0;

/** Answers each request without a length, and resets its connection at once or a little later. */
const server = createServer((socket) => {
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    const id = /attempt-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? '';
    const reset = () => {
      socket.resetAndDestroy();
      socket.destroy();
    };
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n\r\nok`);
    const delayMs = ((answers % DELAYS) * MAX_DELAY_MS) / DELAYS;
    answers += 1;
    if (delayMs === 0) reset();
    else setTimeout(reset, delayMs);
  });
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ ready: 'resetting-server', port })}\n`);
});
