/**
 * More than 500 tasks end on one minion while the leader's machine stands still. Checks that no
 * task whose run has ended `done` is started again.
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

/** Each with as many steps and tasks as the largest job on the sheets. */
const JOBS = 10;

const STEPS = 4;

const TASKS = 36;

const WORK_MILLISECONDS = 6000;

/** The site file freezes machines for as long. */
const FREEZE_MILLISECONDS = 3500;

/** Kind of two of the minions; the jobs ask for it. */
const LARGE_KIND = 'b';

/** Time from the freeze of the leader to the end of the first tasks. */
const FREEZE_BEFORE_END_MILLISECONDS = 500;

const deployment = new Deployment({
  record: fileURLToPath(new URL('record.txt', import.meta.url)),
  entries: 3,
  agents: 7,
  kindOf: number => (number <= 2 ? LARGE_KIND : 'a'),
  capacity: { cpu: 64_000, task_memory_mb: 250_000, gpus: 0 },
  seconds: 90,
});

const step = {
  count: TASKS,
  cpu: 70,
  task_memory_mb: 64,
  required_label: LARGE_KIND,
  estimated_ms: WORK_MILLISECONDS,
};

const job = {
  specification: `work_ms=${WORK_MILLISECONDS}`,
  steps: Array.from({ length: STEPS }, () => step),
};

const identifiers = Array.from(
  { length: JOBS },
  (_, number) => `aaaaaaaaaaaaaaa${number}`,
);

await deployment.start();
const accepted = await Promise.all(
  identifiers.map(identifier => deployment.submit(identifier, job)),
);
if (accepted.includes(false)) {
  deployment.note('a job was not accepted');
  deployment.finish(COULD_NOT_RUN);
}
let firstStart;
for (let waited = 0; firstStart === undefined && waited < 5000; waited += 20) {
  await pause(20);
  firstStart = deployment.events.find(({ event }) => event === 'start');
}
if (firstStart === undefined) {
  deployment.note('nothing was started');
  deployment.finish(COULD_NOT_RUN);
}
const freezeAt =
  firstStart.at + WORK_MILLISECONDS - FREEZE_BEFORE_END_MILLISECONDS;
await pause(Math.max(0, freezeAt - deployment.now()));
if (TROUBLE) {
  const leader = deployment.leader();
  deployment.signal(leader, 'SIGSTOP');
  await pause(FREEZE_MILLISECONDS);
  deployment.signal(leader, 'SIGCONT');
}
await pause(20_000);
let again = 0;
for (const start of deployment.events.filter(
  ({ event }) => event === 'start',
)) {
  const done = deployment.events.find(
    ({ event, task, at }) =>
      event === 'done' && task === start.task && at < start.at,
  );
  const acknowledged =
    done !== undefined &&
    deployment.events.some(
      ({ event, task, run, minion }) =>
        event === 'acked' &&
        task === done.task &&
        run === done.run &&
        minion === done.minion,
    );
  const lapsed =
    done !== undefined &&
    deployment.events.some(
      ({ event, minion, at }) =>
        event === 'lapsed' && minion === done.minion && at >= done.at,
    );
  if (acknowledged && !lapsed) {
    again += 1;
    if (again <= 5) {
      deployment.note(
        `${start.task}: run ${done.run} ended done on ${done.minion} at ${done.at} ms, and its end was acknowledged; run ${start.run} began on ${start.minion} at ${start.at} ms`,
      );
    }
  }
}
deployment.note(`tasks started again after their run had ended done: ${again}`);
deployment.finish(again > 0 ? BROKEN : HELD);
