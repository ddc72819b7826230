/**
 * Runs the real programs with one minion, sends its agent an odd heartbeat of
 * another writer, and checks that the minion is followed afterwards: through its
 * next life, or as it drains.
 *
 * Usage, from the root of the repository, after `node scripts/bundle.mjs`:
 * `node scripts/reproduce/next-life.mjs calm|future-start|large-seq`
 */
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Deployment, pause } from '../../review/deployment.mjs';
import { refuse, tellAgent } from './disturb.mjs';

const WATCH_MILLISECONDS = 15_000;

const DRAIN_MILLISECONDS = 6000;

const job = {
  specification: 'work_ms=500',
  steps: [{ count: 4, cpu: 240, task_memory_mb: 480, estimated_ms: 500 }],
};

const ODD_FIELDS = {
  calm: undefined,
  'future-start': { id: 'i-other', fields: { born: 9e15 } },
  'large-seq': { id: 'i-1', fields: { seq: 9e15 } },
};

const name = process.argv[2] ?? 'calm';
const odd = ODD_FIELDS[name];
const deployment = new Deployment({
  record: join(tmpdir(), `next-life-${name}.txt`),
  entries: 3,
  agents: 1,
  capacity: { cpu: 16_000, task_memory_mb: 64_000, gpus: 0 },
  seconds: 90,
});
await deployment.start();
const [minion] = deployment.minions;

async function sendOddHeartbeat() {
  if (odd !== undefined) {
    const body = { ...minion.description(), ...odd.fields };
    const status = await tellAgent(minion, 'PUT', odd.id, JSON.stringify(body));
    deployment.note(`an odd heartbeat is answered ${status}`);
  }
}

await sendOddHeartbeat();
minion.state = 'draining';
await pause(DRAIN_MILLISECONDS);
const drained = 'dddddddddddddddd';
await deployment.submit(drained, job);
await pause(2000);
const startsWhileDraining = deployment.eventsOf(drained, 'start').length;
minion.crash();
clearInterval(minion.beats);
await sendOddHeartbeat();
await refuse(minion, 500);
minion.beginLife(minion.identifier);
minion.startHeartbeats();
await pause(WATCH_MILLISECONDS);
const state = await deployment.stateOf(drained);
process.stdout.write(
  `${name}: ${startsWhileDraining} starts while the minion drains; the job is ${state} ${WATCH_MILLISECONDS} ms after its next life began\n`,
);
deployment.finish(startsWhileDraining > 0 || state !== 'completed' ? 1 : 0);
