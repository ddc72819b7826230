/**
 * Runs the real programs against the stand-ins of `review/`, does one thing to a
 * minion, and prints each pair of runs of one task that were at work at once.
 *
 * Usage, from the root of the repository, after `node scripts/bundle.mjs`:
 * `node scripts/reproduce/two-runs.mjs CASE`, with a name from `CASES` below.
 */
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Deployment, pause } from '../../review/deployment.mjs';
import { refuse, tellAgent } from './disturb.mjs';

const CUT_MILLISECONDS = 3000;

const WATCH_MILLISECONDS = 16_000;

const JOBS = ['1', '2', '3'].map(number => `aaaaaaaaaaaaaaa${number}`);

const step = { count: 8, cpu: 960, task_memory_mb: 1900, estimated_ms: 8000 };

const job = { specification: 'work_ms=8000', steps: [step] };

const CASES = {
  /** Nothing is done. */
  calm: async () => undefined,
  /** Connections to a minion are refused for 3 s; its heartbeats arrive. */
  refused: async minion => {
    await refuse(minion, CUT_MILLISECONDS);
  },
  /** Connections are refused, and no heartbeats arrive, for 3 s. */
  'refused-and-silent': async minion => {
    clearInterval(minion.beats);
    await refuse(minion, CUT_MILLISECONDS);
    minion.startHeartbeats();
  },
  /** As above, until the minion's lease is over. */
  'refused-for-long': async minion => {
    clearInterval(minion.beats);
    await refuse(minion, 5 * CUT_MILLISECONDS);
  },
  /** A heartbeat of another writer names another minion, without an address. */
  'odd-heartbeat': async minion => {
    const fields = { born: Date.now(), address: undefined };
    const body = { ...minion.description(), ...fields };
    await tellAgent(minion, 'PUT', 'i-other', JSON.stringify(body));
  },
  /** As above, but complete. */
  'heartbeat-of-another': async minion => {
    const body = { ...minion.description(), born: Date.now() };
    await tellAgent(minion, 'PUT', 'i-other', JSON.stringify(body));
  },
  /** An earlier life of the minion, under the same id, leaves late. */
  'late-departure': async minion => {
    await tellAgent(minion, 'DELETE', minion.identifier, '');
  },
  /** As above, and connections are refused as its next heartbeat has come. */
  'late-departure-and-refused': async minion => {
    await tellAgent(minion, 'DELETE', minion.identifier, '');
    await pause(200);
    minion.beat();
    await pause(1000);
    await refuse(minion, CUT_MILLISECONDS);
  },
  /** The agent of the minion is killed, and starts again. */
  'agent-killed': async (_minion, deployment) => {
    deployment.signal('side-1', 'SIGKILL');
  },
  /** The agent of the minion stands still for longer than its stream lasts. */
  'agent-frozen': async (_minion, deployment) => {
    deployment.signal('side-1', 'SIGSTOP');
    await pause(CUT_MILLISECONDS);
    deployment.signal('side-1', 'SIGCONT');
  },
};

const name = process.argv[2] ?? 'calm';
const disturb = CASES[name];
if (disturb === undefined) {
  process.stderr.write(`one of: ${Object.keys(CASES).join(', ')}\n`);
  process.exit(2);
}
const deployment = new Deployment({
  record: join(tmpdir(), `two-runs-${name}-${process.pid}.txt`),
  entries: 3,
  agents: 4,
  capacity: { cpu: 16_000, task_memory_mb: 64_000, gpus: 0 },
  seconds: 90,
});
await deployment.start();
await Promise.all(JOBS.map(identifier => deployment.submit(identifier, job)));
await pause(2000);
deployment.note(`disturbance: ${name}`);
const disturbedAt = deployment.now();
await disturb(deployment.minions[0], deployment);
await pause(WATCH_MILLISECONDS);
const overlaps = deployment.overlaps();
const again = deployment.events.filter(
  ({ event, run, at }) => event === 'start' && run > 1 && at > disturbedAt,
);
const firstAgain = again[0] === undefined ? '-' : again[0].at - disturbedAt;
process.stdout.write(
  `${name}: ${overlaps.length} pairs of runs at once, ${again.length} starts again, the first after ${firstAgain} ms; record ${deployment.options.record}\n`,
);
deployment.finish(overlaps.length > 0 ? 1 : 0);
