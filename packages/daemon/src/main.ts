#!/usr/bin/env node
import { readFile } from 'node:fs/promises';

import { messageOf } from '@basilcourse/foundation/errors/message-of';
import { formatProblem } from '@basilcourse/foundation/settings/format-problem';

import { createNode } from './node/create-node.js';
import { systemDependencies } from './node/system-dependencies.js';
import { parseSettings } from './settings/parse-settings.js';

const EXIT_FAILED = 1;

const EXIT_USAGE = 2;

const USAGE = 'Usage: basilcourse-daemon --settings FILE\n';

async function run(file: string): Promise<void> {
  const { settings, problems } = parseSettings(await readFile(file, 'utf8'));
  if (problems.length > 0) {
    const lines = problems.map(problem => formatProblem(file, problem));
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const node = createNode(settings, systemDependencies(settings));
  await node.start();
  const stop = (): void => {
    node.stop().then(
      () => {
        process.exit(0);
      },
      (error: unknown) => {
        process.stderr.write(`Stopping failed: ${messageOf(error)}\n`);
        process.exit(EXIT_FAILED);
      },
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

const [flag, file, ...rest] = process.argv.slice(2);
if (flag !== '--settings' || file === undefined || rest.length > 0) {
  process.stderr.write(USAGE);
  process.exitCode = EXIT_USAGE;
} else {
  run(file).catch((error: unknown) => {
    process.stderr.write(`Starting failed: ${messageOf(error)}\n`);
    process.exitCode = EXIT_FAILED;
  });
}
