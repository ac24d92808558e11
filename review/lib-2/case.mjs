/* eslint n/no-sync: "off" */
/* eslint-disable */
// Runs a case: writes its record, ends what it started, and exits with 1 (rule broken), 0 or 2 (not run).
import { writeFileSync } from 'node:fs';
import path from 'node:path';

export const TROUBLE = process.env.TROUBLE !== '0';

const LIMIT_MS = 115_000;

/**
 * `main` gets `record`, which adds a line to the record, and `later`, which takes a function that ends
 * something; it returns what broke the rule, or undefined when the rule held.
 */
export async function runCase(folder, main) {
  const lines = [];
  const ends = [];
  const startMs = Date.now();
  const file = path.join(folder, 'record.txt');
  const record = (text) => {
    lines.push(`${((Date.now() - startMs) / 1000).toFixed(2).padStart(7)} ${text}`);
  };
  const finish = async (code, text) => {
    record(text);
    for (const end of ends.reverse()) await end();
    writeFileSync(file, `${lines.join('\n')}\n`);
    console.log(text);
    process.exit(code);
  };
  const stop = () => void finish(2, 'not run: ended from outside or too slow');
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  setTimeout(stop, LIMIT_MS).unref();
  process.on('unhandledRejection', (error) => void finish(2, `not run: ${error?.stack ?? error}`));
  record(`trouble: ${TROUBLE ? 'yes' : 'no'}`);
  try {
    const broken = await main({ record, later: (end) => ends.push(end) });
    if (broken) await finish(1, `rule broken: ${broken}`);
    else await finish(0, 'rule held');
  } catch (error) {
    await finish(2, `not run: ${error?.stack ?? error}`);
  }
}

/** Counts answers by status. */
export function tally(answers) {
  const counts = {};
  for (const { status, error } of answers) {
    const key = status === 0 ? `none (${error})` : String(status);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return JSON.stringify(counts);
}
