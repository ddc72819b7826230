/**
 * One heartbeat from another writer, without an address and with fields of another
 * type, reaches each of two agents. Checks that no task runs twice at the same time.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  BROKEN,
  call,
  COULD_NOT_RUN,
  Deployment,
  HELD,
  pause,
} from '../deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

const JOBS = 3;

const TASKS = 12;

const WORK_MILLISECONDS = 9000;

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: 3,
  agents: 3,
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 80,
});

const job = {
  specification: `work_ms=${WORK_MILLISECONDS}`,
  steps: [
    {
      count: TASKS,
      cpu: 960,
      task_memory_mb: 1900,
      estimated_ms: WORK_MILLISECONDS,
    },
  ],
};

await deployment.start();
for (let number = 0; number < JOBS; number += 1) {
  if (!(await deployment.submit(`aaaaaaaaaaaaaaa${number}`, job))) {
    deployment.finish(COULD_NOT_RUN);
  }
}
await pause(2000);
if (TROUBLE) {
  for (const minion of deployment.minions.slice(0, 1)) {
    const {
      address: _address,
      version: _version,
      ...rest
    } = minion.description();
    const foreign = {
      ...rest,
      born: Date.now(),
      seq: 1,
      slots: 'eight',
      clock_ms: null,
    };
    const { heartbeatAddress } = minion.options;
    const { status } = await call(
      heartbeatAddress,
      'PUT',
      '/-/instances/i-other',
      foreign,
      1000,
    );
    deployment.note(
      `another writer: PUT /-/instances/i-other ${JSON.stringify(foreign)}: ${status}`,
    );
  }
}
await pause(WORK_MILLISECONDS + 12_000);
deployment.note('done');
const twice = deployment.overlaps();
for (const text of twice.slice(0, 5)) {
  deployment.note(text);
}
deployment.note(`tasks that ran twice at the same time: ${twice.length}`);
deployment.finish(twice.length > 0 ? BROKEN : HELD);
