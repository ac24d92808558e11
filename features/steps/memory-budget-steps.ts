import assert from 'node:assert/strict';

import { Given, Then, When, world } from '@cucumber/cucumber';

import { MemoryBudget, type Holding } from '../../src/memory/memory-budget.js';

interface BudgetWorld {
  memoryBudget: MemoryBudget;
  holdings: Map<string, Holding>;
  budgetRefused: string[];
  budgetClosed: string[];
}

const scenario = world as unknown as BudgetWorld;

function open(name: string, nowMs: number): Holding {
  const { memoryBudget, holdings, budgetClosed } = scenario;
  const known = holdings.get(name);
  if (known) return known;
  const holding = memoryBudget.open(0, () => budgetClosed.push(name), nowMs);
  assert.ok(holding);
  holdings.set(name, holding);
  return holding;
}

Given(
  'a memory budget of {int} bytes and {int} connections',
  (bytes: number, connections: number) => {
    Object.assign(scenario, {
      memoryBudget: MemoryBudget.create({ bytes, connections }),
      holdings: new Map(),
      budgetRefused: [],
      budgetClosed: [],
    });
  },
);

When(
  'memory budget connection {string} reserves {int} bytes at {int} ms',
  (name: string, bytes: number, nowMs: number) => {
    const { memoryBudget, budgetRefused } = scenario;
    if (!memoryBudget.reserve(open(name, nowMs), bytes, nowMs)) budgetRefused.push(name);
  },
);

When(
  'memory budget connection {string} uses {int} bytes at {int} ms',
  (name: string, bytes: number, nowMs: number) => {
    scenario.memoryBudget.add(open(name, nowMs), bytes, nowMs);
  },
);

When(
  'memory budget connection {string} makes progress at {int} ms',
  (name: string, nowMs: number) => {
    scenario.memoryBudget.progress(open(name, nowMs), nowMs);
  },
);

When('memory budget connection {string} runs a request', (name: string) => {
  scenario.memoryBudget.setReclaimable(open(name, 0), false);
});

Then('the memory budget has refused {string}', (names: string) => {
  assert.equal(scenario.budgetRefused.join(' '), names);
});

Then('the memory budget has closed {string}', (names: string) => {
  assert.equal(scenario.budgetClosed.join(' '), names);
});

Then('the memory budget holds {int} bytes', (bytes: number) => {
  assert.equal(scenario.memoryBudget.used, bytes);
});
