import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

import { runSoak } from './run-soak.js';

const BREACHES_SHOWN = 20;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '40' },
    entries: { type: 'string', default: '3' },
    agents: { type: 'string', default: '5' },
    troubles: { type: 'string', default: '' },
    directory: { type: 'string' },
  },
});
const seed = Number(values.seed);
const directory =
  values.directory ?? join(tmpdir(), `soak-${seed}-${process.pid}`);
const result = await runSoak({
  seed,
  seconds: Number(values.seconds),
  entries: Number(values.entries),
  agents: Number(values.agents),
  troubles: values.troubles,
  directory,
});
const { jobs, starts, troubles, refusedAppends, breaches } = result;
process.stdout.write(
  [
    `seed ${seed}: ${jobs} jobs, ${starts} starts, ${troubles} troubles, ${refusedAppends} refused appends, ${breaches.length} broken; ${directory}`,
    ...breaches.slice(0, BREACHES_SHOWN).map(text => `  ${text}`),
    '',
  ].join('\n'),
);
process.exit(breaches.length === 0 ? 0 : 1);
