import type { Writable } from 'node:stream';

import type { Cli } from 'clipanion';
import { Cli as CliDefaults } from 'clipanion';

import { ExitCode } from './exit-code.js';

/** Runs a command and returns its exit code; `usage` for invalid arguments. */
export async function runCli(
  cli: Cli,
  commandArguments: string[],
  stdout: Writable,
  stderr: Writable,
): Promise<number> {
  const context = { ...CliDefaults.defaultContext, stdout, stderr };
  try {
    const command = cli.process(commandArguments, context);
    return await cli.run(command, context);
  } catch (error) {
    stderr.write(cli.error(error, { colored: false }));
    return ExitCode.usage;
  }
}
