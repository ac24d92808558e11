import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';

import { After, Given, Then, When, world } from '@cucumber/cucumber';

import { waitFor } from '../../harness/wait-for.js';
import { ConfigurationFleet, type ConfigurationNode } from '../support/configuration-fleet.js';

const TOKEN = 'operator-token-of-the-test';
const COMMAND_TIMEOUT_MS = 20_000;

interface CommandResult {
  readonly code: number;
  readonly output: string;
}

interface OperatorsWorld {
  operatorFleet: ConfigurationFleet | undefined;
  result: CommandResult;
  keyText: string;
}

const scenario = world as unknown as OperatorsWorld;

const DECISIONS = {
  explain: (requestId: string) =>
    Promise.resolve(
      requestId === 'request-1'
        ? [
            {
              requestId,
              atMs: 1,
              vm: 'a',
              step: 'admission',
              choice: 'granted',
              reason: '',
              facts: {},
            },
          ]
        : [],
    ),
};

function getFleet(): ConfigurationFleet {
  assert.ok(scenario.operatorFleet);
  return scenario.operatorFleet;
}

function runTool(words: string, token = TOKEN): Promise<CommandResult> {
  const { port } = getFleet().find('a').operators;
  const daemon = words.includes('--daemon') ? [] : ['--daemon', `127.0.0.1:${port}`];
  const args = ['--import', 'tsx', 'src/ctl.ts', ...words.split(' '), ...daemon];
  const env = { ...process.env, CUMINSPAR_OPERATOR_TOKEN: token };
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      args,
      { env, timeout: COMMAND_TIMEOUT_MS },
      (_, out, err) => {
        resolve({ code: child.exitCode ?? -1, output: out + err });
      },
    );
  });
}

After(async () => {
  await scenario.operatorFleet?.stop();
});

Given('operator daemons {string}', async (names: string) => {
  const fleet = ConfigurationFleet.create();
  scenario.operatorFleet = fleet;
  for (const vm of names.split(', ')) {
    const node = await fleet.addWithOperators(vm, TOKEN, DECISIONS);
    await waitFor('the first read', () => node.configuration.current() !== undefined);
  }
});

When('the operator runs {string}', { timeout: COMMAND_TIMEOUT_MS }, async (words: string) => {
  scenario.result = await runTool(words);
});

When(
  'the operator runs {string} with the token {string}',
  { timeout: COMMAND_TIMEOUT_MS },
  async (words: string, token: string) => {
    scenario.result = await runTool(words, token);
  },
);

When(
  'the operator gives the team {string} a key',
  { timeout: COMMAND_TIMEOUT_MS },
  async (team: string) => {
    const { code, output } = await runTool(`key give ${team} --json`);
    assert.equal(code, 0, output);
    scenario.keyText = (JSON.parse(output) as { key: string }).key;
  },
);

When('the operator withdraws that key', { timeout: COMMAND_TIMEOUT_MS }, async () => {
  scenario.result = await runTool(`key withdraw ${scenario.keyText.split('_')[1]} --json`);
});

When(
  'the operator applies a file that withdraws that key',
  { timeout: COMMAND_TIMEOUT_MS },
  async () => {
    const file = join(await mkdtemp(join(tmpdir(), 'cuminspar-')), 'changes.json');
    const keyId = scenario.keyText.split('_')[1];
    await writeFile(file, JSON.stringify([{ kind: 'withdraw-key', keyId }]));
    scenario.result = await runTool(`apply ${file}`);
    await rm(dirname(file), { recursive: true });
  },
);

When('the operator daemons lose the log', () => {
  getFleet().log.setOut(true);
});

Given('the operator daemon {string} stops answering its peers', (vm: string) => {
  getFleet().unreachable.add(vm);
});

Given('the operator daemon {string} stops answering operators', (vm: string) => {
  getFleet().find(vm).operators = { host: '127.0.0.1', port: 1 };
});

Then('the operator command exits with {int}', (code: number) => {
  assert.equal(scenario.result.code, code, scenario.result.output);
});

Then(/^the operator output contains "(.*)"$/, (text: string) => {
  assert.ok(scenario.result.output.includes(text), scenario.result.output);
});

Then(
  "the operator's key is answered with {string} by the daemons {string}",
  async (answer: string, names: string) => {
    const nodes = names.split(', ').map((vm) => getFleet().find(vm));
    const read = (node: ConfigurationNode) => {
      const outcome = node.configuration.authenticate(`Bearer ${scenario.keyText}`);
      return outcome.kind === 'ok' ? outcome.value.team : outcome.failure.code;
    };
    await waitFor(`${answer} at ${names}`, () => nodes.every((node) => read(node) === answer));
  },
);
