#!/usr/bin/env node
import { createCli } from './create-cli.js';
import { ExitCode } from './exit-code.js';
import { runCli } from './run-cli.js';

const cli = createCli();
runCli(cli, process.argv.slice(2), process.stdout, process.stderr).then(
  code => {
    process.exitCode = code;
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = ExitCode.failure;
  },
);
