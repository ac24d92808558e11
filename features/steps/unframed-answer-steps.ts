import assert from 'node:assert/strict';
import type { Socket } from 'node:net';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import {
  createAnswerReader,
  READER_REQUEST_ID,
  type AnswerReader,
} from '../support/answer-readers.js';
import { ScriptedServer } from '../support/scripted-server.js';

interface UnframedWorld {
  unframedServer: ScriptedServer | undefined;
  unframedReader: AnswerReader | undefined;
  unframedBody: string;
  isUnframedRead: boolean;
}

const scenario = world as unknown as UnframedWorld;

const STEP = { timeout: 15_000 } as const;

/** Delay of answers that were waited for, and of late resets, in milliseconds. */
const DELAY_MS = 50;

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'is closed': (socket) => socket.end(),
  // Within one process, the reset always arrives before the client has read the data.
  'is reset at once': (socket) => {
    socket.resetAndDestroy();
    socket.destroy();
  },
  'is reset later': (socket) => {
    setTimeout(() => socket.resetAndDestroy(), DELAY_MS);
  },
};

After(async () => {
  scenario.unframedServer?.close();
  await scenario.unframedReader?.stop();
  Object.assign(scenario, { unframedServer: undefined, unframedReader: undefined });
});

Given('an unframed answer with the body {}', (body: string) => {
  scenario.unframedBody = body;
});

Given(
  'an unframed answer with a page of {int} records that ends after {int} of them',
  (count: number, sent: number) => {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(count));
    const record = Buffer.from([0, 0, 0, 5, 0, 0, 0, 1, 0x6b]);
    const page = Buffer.concat([head, ...Array.from({ length: sent }, () => record)]);
    scenario.unframedBody = page.toString('latin1');
  },
);

When(
  /^the unframed answer is read by the "(.*)" and its connection (is .*)$/,
  STEP,
  async (reader: string, end: string) => {
    const { unframedBody } = scenario;
    const finish = ENDS[end] ?? assert.fail(end);
    scenario.unframedServer = await ScriptedServer.create((socket) => {
      setTimeout(() => {
        const lines = `HTTP/1.1 200 OK\r\nAttempt-Id: ${READER_REQUEST_ID}\r\n\r\n`;
        socket.write(`${lines}${unframedBody}`, 'latin1');
        finish(socket);
      }, DELAY_MS);
    });
    scenario.unframedReader = createAnswerReader(reader, scenario.unframedServer.port);
    scenario.isUnframedRead = await scenario.unframedReader.call();
  },
);

Then(/^the unframed answer (is|is not) taken for whole$/, (taken: string) => {
  assert.equal(scenario.isUnframedRead, taken === 'is');
});
