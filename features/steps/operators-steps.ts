import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';

import { After, Given, Then, When } from '@cucumber/cucumber';

import { waitFor } from '../support/configuration-fixtures.js';
import { ConfigurationFleet, type ConfigurationNode } from '../support/configuration-fleet.js';

const TOKEN = 'operator-token-of-the-test';
const COMMAND_MS = 20_000;

interface CommandResult {
  readonly code: number;
  readonly output: string;
}

interface OperatorsWorld {
  operatorFleet: ConfigurationFleet | undefined;
  result: CommandResult;
  keyText: string;
}

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

function getFleet(world: OperatorsWorld): ConfigurationFleet {
  assert.ok(world.operatorFleet);
  return world.operatorFleet;
}

function findNode(world: OperatorsWorld, vm: string): ConfigurationNode {
  const node = getFleet(world).nodes.find((other) => other.vm === vm);
  assert.ok(node);
  return node;
}

function runTool(world: OperatorsWorld, words: string, token = TOKEN): Promise<CommandResult> {
  const { port } = findNode(world, 'a').operators;
  const chosen = words.includes('--daemon') ? [] : ['--daemon', `127.0.0.1:${port}`];
  const list = ['--import', 'tsx', 'src/ctl.ts', ...words.split(' '), ...chosen];
  const env = { ...process.env, CUMINSPAR_OPERATOR_TOKEN: token };
  return new Promise((resolve) => {
    const child = execFile(process.execPath, list, { env, timeout: COMMAND_MS }, (_, out, err) => {
      resolve({ code: child.exitCode ?? -1, output: out + err });
    });
  });
}

After(async function after(this: OperatorsWorld) {
  await this.operatorFleet?.stop();
});

Given('operator daemons {string}', async function given(this: OperatorsWorld, names: string) {
  const fleet = ConfigurationFleet.create();
  this.operatorFleet = fleet;
  for (const vm of names.split(', ')) {
    const node = await fleet.addWithOperators(vm, TOKEN, DECISIONS);
    await waitFor('the first read', () => node.configuration.current() !== undefined);
  }
});

When(
  'the operator runs {string}',
  { timeout: COMMAND_MS },
  async function when(this: OperatorsWorld, words: string) {
    this.result = await runTool(this, words);
  },
);

When(
  'the operator runs {string} with the token {string}',
  { timeout: COMMAND_MS },
  async function when(this: OperatorsWorld, words: string, token: string) {
    this.result = await runTool(this, words, token);
  },
);

When(
  'the operator gives the team {string} a key',
  { timeout: COMMAND_MS },
  async function when(this: OperatorsWorld, team: string) {
    const { code, output } = await runTool(this, `key give ${team} --json`);
    assert.equal(code, 0, output);
    this.keyText = (JSON.parse(output) as { key: string }).key;
  },
);

When(
  'the operator withdraws that key',
  { timeout: COMMAND_MS },
  async function when(this: OperatorsWorld) {
    this.result = await runTool(this, `key withdraw ${this.keyText.split('_')[1]} --json`);
  },
);

When('the operator daemons lose the log', function when(this: OperatorsWorld) {
  getFleet(this).log.setOut(true);
});

Given(
  'the operator daemon {string} stops answering its peers',
  function given(this: OperatorsWorld, vm: string) {
    getFleet(this).unreachable.add(vm);
  },
);

Given(
  'the operator daemon {string} stops answering operators',
  function given(this: OperatorsWorld, vm: string) {
    findNode(this, vm).operators = { host: '127.0.0.1', port: 1 };
  },
);

Then('the operator command exits with {int}', function then(this: OperatorsWorld, code: number) {
  assert.equal(this.result.code, code, this.result.output);
});

Then(/^the operator output contains "(.*)"$/, function then(this: OperatorsWorld, text: string) {
  assert.ok(this.result.output.includes(text), this.result.output);
});

Then(
  "the operator's key is answered with {string} by the daemons {string}",
  async function then(this: OperatorsWorld, answer: string, names: string) {
    const nodes = names.split(', ').map((vm) => findNode(this, vm));
    const read = (node: ConfigurationNode) => {
      const outcome = node.configuration.authenticate(`Bearer ${this.keyText}`);
      return outcome.kind === 'ok' ? outcome.value.team : outcome.failure.code;
    };
    await waitFor(`${answer} at ${names}`, () => nodes.every((node) => read(node) === answer));
  },
);
