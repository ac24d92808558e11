import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { After, Then, When, world } from '@cucumber/cucumber';

import {
  createAnswerReader,
  READER_REQUEST_ID,
  type AnswerReader,
} from '../support/answer-readers.js';

interface AnswerStatusWorld {
  statusServer: Server | undefined;
  statusReader: AnswerReader | undefined;
  isStatusAnswerTaken: boolean;
}

const scenario = world as unknown as AnswerStatusWorld;

const STEP = { timeout: 15_000 } as const;

const UPLOAD_BYTES = 4_000_000;

const IDENTITY = `Attempt-Id: ${READER_REQUEST_ID}\r\nServer-Seal: s`;

After(async () => {
  scenario.statusServer?.close();
  await scenario.statusReader?.stop();
  Object.assign(scenario, { statusServer: undefined, statusReader: undefined });
});

/** Starts a server that calls a function for each connection, and runs a reader on it. */
async function readFrom(
  reader: string,
  accept: (socket: Socket) => void,
  body?: Buffer<ArrayBuffer>,
): Promise<void> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    accept(socket);
  });
  scenario.statusServer = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  scenario.statusReader = createAnswerReader(reader, port, body);
  scenario.isStatusAnswerTaken = await scenario.statusReader.call();
}

When(
  /^the (.+) is sent an answer with the status (\d+) and the body (.+)$/,
  STEP,
  async (reader: string, status: string, body: string) => {
    const head = `HTTP/1.1 ${status} Odd\r\n${IDENTITY}\r\nContent-Length: ${body.length}`;
    await readFrom(reader, (socket) => {
      socket.on('data', () => socket.write(`${head}\r\n\r\n${body}`));
    });
  },
);

When(
  /^the (.+) uploads 4 MB and gets a 200 without a length that is reset after (\d+) ms$/,
  STEP,
  async (reader: string, delayMs: number) => {
    const body = reader.includes('prefill') ? '{"kvHandleId":"k1","tokens":1}' : 'part';
    const answer = `HTTP/1.1 200 OK\r\n${IDENTITY}\r\n\r\n${body}`;
    await readFrom(
      reader,
      (socket) => {
        socket.once('data', () => {
          // The rest of the upload stays unread, so that the client is still writing.
          socket.pause();
          socket.write(answer);
          setTimeout(() => socket.resetAndDestroy(), Number(delayMs));
        });
      },
      Buffer.alloc(UPLOAD_BYTES),
    );
  },
);

Then('the answer with an odd status is not taken for one', () => {
  assert.equal(scenario.isStatusAnswerTaken, false);
});
