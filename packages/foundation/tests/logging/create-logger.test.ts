import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import t from 'tap';

interface FloodMeasurements {
  readonly longestTurnMilliseconds: number;
}

interface LogLine {
  readonly msg: string;
  readonly dropped?: number;
  readonly count?: number;
}

/**
 * Limit of one turn of the event loop. A pipe holds 64 KB; a logger that waits
 * for its reader would block the process once the pipe is full.
 */
const MAXIMUM_TURN_MILLISECONDS = 1000;

/** Limits of the queue and of the chunk being written, plus the pipe size. */
const MAXIMUM_OUTPUT_BYTES = 2 * 512 * 1024 + 64 * 1024;

t.test('unread output does not block; dropped lines are reported', async t => {
  const program = fileURLToPath(
    new URL('../support/log-flood.js', import.meta.url),
  );
  const child = fork(program, {
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });
  const [measurements] = (await once(child, 'message')) as [FloodMeasurements];
  t.ok(
    measurements.longestTurnMilliseconds < MAXIMUM_TURN_MILLISECONDS,
    `${measurements.longestTurnMilliseconds} ms`,
  );
  let output = '';
  child.stdout?.setEncoding('utf8').on('data', (chunk: string) => {
    output += chunk;
  });
  await new Promise(resolve => setTimeout(resolve, 300));
  t.ok(
    output.length < MAXIMUM_OUTPUT_BYTES,
    `${output.length} bytes were written`,
  );
  child.send('end');
  await once(child, 'close');
  const lines = output
    .trim()
    .split('\n')
    .map(line => JSON.parse(line) as LogLine);
  const dropped = lines.find(line => line.dropped !== undefined);
  t.ok(
    (dropped?.dropped ?? 0) > 0,
    'dropped lines are reported with their number',
  );
  t.equal(lines.at(-1)?.msg, '[end] The last line.');
  t.end();
});
