/**
 * A gang that writes checkpoints runs on three minions, and one of them crashes.
 * Checks that all members of the next run are told to start from one checkpoint.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  BROKEN,
  COULD_NOT_RUN,
  Deployment,
  HELD,
  pause,
} from '../deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

const GANGS = 16;

/** Gangs come one after the other, so that their checkpoints do not coincide. */
const GAP_MILLISECONDS = 65;

const MEMBERS = 6;

const WORK_MILLISECONDS = 12_000;

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: 3,
  agents: 3,
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 90,
});

const job = {
  specification: `gang=${MEMBERS} saves work_ms=${WORK_MILLISECONDS}`,
  steps: [
    {
      count: MEMBERS,
      cpu: 1000,
      task_memory_mb: 2000,
      estimated_ms: WORK_MILLISECONDS,
      gang: true,
      checkpointing: true,
      anti_affinity: 2,
    },
  ],
};

function identifierOf(number) {
  return `aaaaaaaaaaaaaa${String(number).padStart(2, '0')}`;
}

await deployment.start();
for (let number = 0; number < GANGS; number += 1) {
  if (!(await deployment.submit(identifierOf(number), job))) {
    deployment.finish(COULD_NOT_RUN);
  }
  await pause(GAP_MILLISECONDS);
}
await pause(6000);
if (TROUBLE) {
  const [minion] = deployment.minions;
  minion.crash();
  clearInterval(minion.beats);
  minion.server.close();
  await pause(1000);
  minion.beginLife('i-1b');
  clearInterval(minion.ticker);
  const [host, port] = minion.address.split(':');
  await minion.listen(host, Number(port));
  minion.startHeartbeats();
}
await pause(WORK_MILLISECONDS + 15_000);
let differing = 0;
const runs = new Map();
for (const start of deployment.events.filter(
  ({ event }) => event === 'start',
)) {
  const key = `${start.task.slice(0, start.task.lastIndexOf('.'))} run ${start.run}`;
  const values = runs.get(key) ?? new Map();
  values.set(start.task, start.checkpoint);
  runs.set(key, values);
}
for (const [key, values] of runs) {
  const distinct = new Set(values.values());
  if (distinct.size > 1) {
    differing += 1;
    deployment.note(
      `${key}: members start from different checkpoints: ${JSON.stringify([...values])}`,
    );
  }
}
for (let number = 0; number < GANGS; number += 1) {
  await deployment.stateOf(identifierOf(number));
}
deployment.note(`runs whose members got different checkpoints: ${differing}`);
deployment.finish(differing > 0 ? BROKEN : HELD);
