/**
 * One job that can never be done, with a schedule that began a day ago, is handed in
 * beside small jobs. Checks that the processes go on, and that the small jobs are
 * still known and done.
 */
import { fileURLToPath } from 'node:url';

import {
  BROKEN,
  COULD_NOT_RUN,
  Deployment,
  HELD,
  pause,
} from '../deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

const DAY_MILLISECONDS = 86_400_000;

const INTERVAL_MILLISECONDS = 1000;

const WATCH_MILLISECONDS = 60_000;

/** "three times in the day", on two machines at least. */
const OWN_ENDS = 3;

const MACHINES = 2;

const deployment = new Deployment({
  record: fileURLToPath(new URL('record.txt', import.meta.url)),
  entries: 3,
  agents: 3,
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 110,
});

const step = { count: 6, cpu: 960, task_memory_mb: 1900, estimated_ms: 1400 };

const smallJob = { specification: 'work_ms=1400', steps: [step] };

const hopelessJob = {
  specification: 'work_ms=1400',
  steps: [{ ...step, required_label: 'none-has-it' }],
  repetitions: 100_000,
  first_run_ms: Date.now() - DAY_MILLISECONDS,
  interval_ms: INTERVAL_MILLISECONDS,
};

await deployment.start();
if (!(await deployment.submit('bbbbbbbbbbbbbbb0', smallJob))) {
  deployment.finish(COULD_NOT_RUN);
}
await pause(3000);
if (TROUBLE) {
  await deployment.callEntry(0, 'POST', 'aaaaaaaaaaaaaaaa', hopelessJob);
}
const until = performance.now() + WATCH_MILLISECONDS;
let accepted = 0;
let asked = 0;
while (performance.now() < until) {
  asked += 1;
  const identifier = `cccccccccccc${String(asked).padStart(4, '0')}`;
  const { status } = await deployment.callEntry(
    asked,
    'POST',
    identifier,
    smallJob,
  );
  accepted += Number(status === 200);
  await pause(1000);
}
const state = await deployment.stateOf('bbbbbbbbbbbbbbb0');
deployment.note(`the first small job is shown as ${state}`);
deployment.note(`small jobs accepted: ${accepted} of ${asked}`);
let machines = 0;
for (const [name, ends] of deployment.ownEnds) {
  deployment.note(`${name}: ended by itself ${ends} times`);
  machines += Number(ends >= OWN_ENDS);
}
deployment.finish(machines >= MACHINES ? BROKEN : HELD);
