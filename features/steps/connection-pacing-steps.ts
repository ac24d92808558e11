import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';

import { After, Given, Then, When, world } from '@cucumber/cucumber';
import fc from 'fast-check';
import { request } from 'undici';

import { ManualClock } from '../../src/kernel/manual-clock.js';
import { ConnectionPacer } from '../../src/pacing/connection-pacer.js';
import { PacedConnection } from '../../src/pacing/paced-connection.js';
import { ReadTurns } from '../../src/pacing/read-turns.js';

/** A paced connection, and what its listener has had. */
interface Paced {
  readonly socket: PassThrough;
  readonly parts: Buffer[];
  heldBytes: number;
}

interface PacingWorld {
  pacedClock: ManualClock;
  pacedTurns: ReadTurns;
  /** Next turn of the event loop. */
  nextTurn: (() => void) | undefined;
  paced: Paced[];
  partsBefore: number;
  pacedServer: Server | undefined;
  /** Bytes of bodies that the paced server has read. */
  pacedRead: number;
  pacedClients: Socket[];
}

const scenario = world as unknown as PacingWorld;

/** What a socket may receive after it has been paused, in bytes. */
const SOCKET_BYTES = 65_536;

After(() => {
  scenario.pacedClients?.forEach((client) => client.destroy());
  scenario.pacedServer?.closeAllConnections();
  scenario.pacedServer?.close();
  Object.assign(scenario, { paced: undefined, pacedServer: undefined, pacedClients: undefined });
});

function pace(turns: ReadTurns, clock: ManualClock, costMs: () => number): Paced {
  const socket = new PassThrough({ highWaterMark: 1_000_000 });
  const paced: Paced = { socket, parts: [], heldBytes: 0 };
  socket.on('data', (part: Buffer) => {
    paced.parts.push(part);
    void clock.advance(costMs());
  });
  const memory = {
    add: (bytes: number) => {
      paced.heldBytes += bytes;
    },
    release: (bytes: number) => {
      paced.heldBytes -= bytes;
    },
  };
  PacedConnection.create(socket as unknown as Socket, turns, memory, clock);
  return paced;
}

/** Lets streams and continuations go on. */
async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function turnLoop(times: number): Promise<void> {
  for (let turn = 0; turn < times; turn += 1) {
    const run = scenario.nextTurn;
    scenario.nextTurn = undefined;
    run?.();
    await settle();
  }
}

function createTurns(): ReadTurns {
  return ReadTurns.create(
    () => {},
    (run) => {
      scenario.nextTurn = run;
    },
  );
}

const countParts = () => scenario.paced.reduce((sum, { parts }) => sum + parts.length, 0);

const countBytes = ({ parts }: Paced) => parts.reduce((sum, part) => sum + part.length, 0);

Given('{int} paced connections whose parts take {int} ms', (count: number, costMs: number) => {
  scenario.pacedClock = ManualClock.create();
  scenario.pacedTurns = createTurns();
  scenario.paced = Array.from({ length: count }, () =>
    pace(scenario.pacedTurns, scenario.pacedClock, () => costMs),
  );
});

Given('a paced connection whose parts take {int} ms', (costMs: number) => {
  scenario.paced.push(pace(scenario.pacedTurns, scenario.pacedClock, () => costMs));
});

When('each paced connection receives {int} bytes', async (bytes: number) => {
  scenario.paced.forEach(({ socket }) => socket.write(Buffer.alloc(bytes)));
  await settle();
  scenario.partsBefore = countParts();
});

When('the event loop turns {int} times', turnLoop);

When('the user of the first paced connection pauses it', () => {
  scenario.paced[0]!.socket.pause();
});

When('the user of the first paced connection resumes it', () => {
  scenario.paced[0]!.socket.resume();
});

Then('the last paced connection has passed on {int} bytes', (bytes: number) => {
  assert.equal(countBytes(scenario.paced.at(-1)!), bytes);
});

Then('the paced connections have passed on at most {int} parts each', (most: number) => {
  scenario.paced.slice(0, -1).forEach(({ parts }) => assert.ok(parts.length <= most));
});

Then('{int} further parts have been passed on', (count: number) => {
  assert.equal(countParts() - scenario.partsBefore, count);
});

Then(
  'no further parts are passed on while the event loop turns {int} times',
  async (turns: number) => {
    await turnLoop(turns);
    assert.equal(countParts(), scenario.partsBefore);
  },
);

Then('the paced connections account for what they have received and may receive', () => {
  scenario.paced.forEach((paced) => {
    const received = paced.socket.writableLength + paced.socket.readableLength;
    assert.equal(received, 0);
    assert.equal(paced.heldBytes, 60_000 - countBytes(paced) + SOCKET_BYTES);
  });
});

Then('the paced connections account for nothing', () => {
  scenario.paced.forEach(({ heldBytes }) => assert.equal(heldBytes, 0));
});

Then(
  'a paced connection passes on what it receives, however its parts cost and its user pauses it',
  async () => {
    const events = fc.array(
      fc.oneof(
        fc.record({ kind: fc.constant('receive' as const), bytes: fc.nat(100_000) }),
        fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const, 'turn' as const) }),
      ),
      { maxLength: 40 },
    );
    const costs = fc.array(fc.constantFrom(0, 0.1, 0.5, 3), { minLength: 1, maxLength: 20 });
    await fc.assert(
      fc.asyncProperty(events, costs, async (steps, costMs) => {
        const clock = ManualClock.create();
        const turns = createTurns();
        let index = 0;
        const paced = pace(turns, clock, () => {
          index += 1;
          return costMs[index % costMs.length]!;
        });
        const sent: Buffer[] = [];
        for (const step of steps) {
          if (step.kind === 'receive') {
            const bytes = Buffer.alloc(step.bytes, String(sent.length));
            sent.push(bytes);
            paced.socket.write(bytes);
          } else if (step.kind === 'turn') await turnLoop(1);
          else paced.socket[step.kind]();
          await settle();
        }
        paced.socket.resume();
        await settle();
        while (scenario.nextTurn) await turnLoop(1);
        assert.ok(Buffer.concat(paced.parts).equals(Buffer.concat(sent)));
        assert.equal(paced.heldBytes, 0);
      }),
      { numRuns: 60 },
    );
  },
);

Given('a paced HTTP server whose parts take {int} ms', async (costMs: number) => {
  const clock = ManualClock.create();
  const server = createServer((incoming, response) => {
    incoming.on('data', (chunk: Buffer) => {
      scenario.pacedRead += chunk.length;
    });
    if (incoming.url === '/ordinary') response.end('done');
  });
  server.on('connection', (socket: Socket) => {
    socket.on('data', () => {
      void clock.advance(costMs);
    });
  });
  ConnectionPacer.create(clock).attach(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  Object.assign(scenario, { pacedServer: server, pacedRead: 0, pacedClients: [] });
});

When(
  '{int} clients send it {int} bytes of chunks of one byte each',
  async (count: number, bytes: number) => {
    const { port } = scenario.pacedServer!.address() as AddressInfo;
    const head = 'POST /busy HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n';
    const sending = Array.from({ length: count }, async () => {
      const client = connect(port, '127.0.0.1');
      scenario.pacedClients.push(client);
      client.on('error', () => {});
      await once(client, 'connect');
      client.write(head + '1\r\nx\r\n'.repeat(bytes));
    });
    await Promise.all(sending);
  },
);

Then(
  'an ordinary request is answered before it has read {int} bytes of the clients',
  async (most: number) => {
    const { port } = scenario.pacedServer!.address() as AddressInfo;
    const { body } = await request(`http://127.0.0.1:${port}/ordinary`);
    await body.dump();
    assert.ok(scenario.pacedRead <= most, `${scenario.pacedRead} bytes were read before it`);
  },
);
