#!/usr/bin/env node
/* eslint n/hashbang: "off" -- package.json names the compiled file, which the rule does not map back. */
import { runCli } from './cli/run.js';

process.exitCode = await runCli(process.argv.slice(2));
