#!/usr/bin/env node
/* eslint n/hashbang: "off" -- package.json names the compiled file, which the rule does not map back. */
import { runTool } from './cli/run.js';

process.exitCode = await runTool(process.argv.slice(2));
