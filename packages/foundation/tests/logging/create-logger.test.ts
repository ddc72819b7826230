import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import t from 'tap';

interface FloodFigures {
  readonly longest: number;
}

interface Line {
  readonly msg: string;
  readonly dropped?: number;
  readonly count?: number;
}

/** A pipe takes 64 KB; a process that waits for its reader stands still. */
const LONGEST_TURN_MILLISECONDS = 1000;

/** What waits at one time, what the pipe holds, and what is in flight. */
const MOST_BYTES_KEPT = 2 * 512 * 1024 + 64 * 1024;

t.test('a reader that does not read stops nothing, and is told', async t => {
  const program = fileURLToPath(
    new URL('../support/log-flood.js', import.meta.url),
  );
  const child = fork(program, { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] });
  const [figures] = (await once(child, 'message')) as [FloodFigures];
  t.ok(figures.longest < LONGEST_TURN_MILLISECONDS, `${figures.longest} ms`);
  let output = '';
  child.stdout?.setEncoding('utf8').on('data', (chunk: string) => {
    output += chunk;
  });
  await new Promise(resolve => setTimeout(resolve, 300));
  t.ok(output.length < MOST_BYTES_KEPT, `${output.length} bytes were kept`);
  child.send('end');
  await once(child, 'close');
  const lines = output
    .trim()
    .split('\n')
    .map(line => JSON.parse(line) as Line);
  const dropped = lines.find(line => line.dropped !== undefined);
  t.ok((dropped?.dropped ?? 0) > 0, 'the lines dropped are counted');
  t.equal(lines.at(-1)?.msg, '[end] The last line.');
  t.end();
});
