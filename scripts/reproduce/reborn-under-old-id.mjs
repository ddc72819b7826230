/**
 * Runs the real programs against the stand-ins of `review/`, starts two of four
 * minions again under their old ids while jobs are handed in, and prints each pair
 * of runs of one task that were at work at once.
 *
 * Usage, from the root of the repository, after `node scripts/bundle.mjs`:
 * `node scripts/reproduce/reborn-under-old-id.mjs CASE`, with a name from `CASES`.
 */
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { pause } from '../../review/deployment.mjs';
import { PathedDeployment } from './pathed-deployment.mjs';

const CUT_MILLISECONDS = 9000;

/** Ends before the leases that the next lives got as the cut began. */
const SHORT_CUT_MILLISECONDS = 8000;

/** Longer than the longest lease, and than what agent and leader reckon with. */
const LONG_CUT_MILLISECONDS = 12_500;

const LONGER_CUT_MILLISECONDS = 26_000;

const KILL_BEFORE_CUT_MILLISECONDS = 600;

const WAIT_MILLISECONDS = 4000;

const WATCH_MILLISECONDS = 8000;

const PAIRS_SHOWN = 10;

const STEP = { count: 24, cpu: 960, task_memory_mb: 1900 };

const LONG_JOB = {
  specification: 'work_ms=20000',
  steps: [{ ...STEP, estimated_ms: 20_000 }],
};

const SHORT_WORK_MILLISECONDS = 3000;

const SHORT_JOB = {
  specification: `work_ms=${SHORT_WORK_MILLISECONDS}`,
  steps: [{ ...STEP, estimated_ms: SHORT_WORK_MILLISECONDS }],
};

/** Its ends are acknowledged before anything is disturbed. */
const EARLIER_JOB = {
  specification: 'work_ms=300',
  steps: [{ ...STEP, count: 40, cpu: 100, estimated_ms: 300 }],
};

const isStart = ({ url }) => url === '/-/run-start';

const isHold = ({ url }) => url === '/-/hold';

const name = process.argv[2] ?? 'noticed';

const deployment = new PathedDeployment({
  record: join(tmpdir(), `reborn-${name}-${process.pid}.txt`),
  entries: 3,
  agents: 4,
  capacity: { cpu: 16_000, task_memory_mb: 64_000, gpus: 0 },
  seconds: 120,
});

/** When the minions began their next lives. */
let rebornAt = 0;

function struck() {
  return deployment.minions.slice(0, 2);
}

function struckAgents() {
  return ['side-1', 'side-2'];
}

async function handIn(suffix = 'a') {
  await Promise.all([
    deployment.submit(`${suffix.repeat(15)}1`, LONG_JOB),
    deployment.submit(`${suffix.repeat(15)}2`, SHORT_JOB),
  ]);
}

async function startAgain(darkMilliseconds = 0) {
  await Promise.all(
    struck().map(minion => minion.startAgain(darkMilliseconds)),
  );
  deployment.note('the minions begin their next lives');
  rebornAt = deployment.now();
}

function beat() {
  struck().forEach(minion => {
    minion.startHeartbeats();
  });
}

function setFates(fateOf) {
  struck().forEach(({ path }) => {
    path.fateOf = fateOf;
  });
}

async function cut(milliseconds) {
  deployment.note(`the minions are cut off for ${milliseconds} ms`);
  struck().forEach(minion => {
    minion.stopHeartbeats();
    minion.path.cut();
  });
  await pause(milliseconds);
  deployment.note('the minions can be reached');
  struck().forEach(minion => {
    minion.path.open();
    minion.startHeartbeats();
  });
}

/** Cuts the VMs of the minions off; agents and minions on them reach each other. */
async function cutSides(milliseconds) {
  deployment.note(`the agents stand still for ${milliseconds} ms`);
  struckAgents().forEach(agent => {
    deployment.signal(agent, 'SIGSTOP');
  });
  await pause(milliseconds);
  struckAgents().forEach(agent => {
    deployment.signal(agent, 'SIGCONT');
  });
}

function killLeader() {
  deployment.signal(deployment.leader(), 'SIGKILL');
}

async function waitUntil(condition) {
  const until = deployment.now() + WAIT_MILLISECONDS;
  while (!condition() && deployment.now() < until) {
    await pause(5);
  }
}

/** Waits until runs have begun on the next lives. */
async function waitForStarts() {
  await waitUntil(() =>
    struck().every(({ options }) =>
      deployment.events.some(
        ({ at, event, minion }) =>
          event === 'start' && minion === options.name && at >= rebornAt,
      ),
    ),
  );
  await pause(100);
}

/** Starts reach the next lives; heartbeats do not come, and lists get no answer. */
async function startUnnoticed(startFate) {
  setFates(call => (isStart(call) ? startFate : 'lost'));
  await startAgain();
  await handIn();
  await waitForStarts();
}

/** Each second start and hold gets no answer, and is carried out 2 to 6 s later. */
function makeOrdersLate() {
  let count = 0;
  setFates(call => {
    count += isStart(call) || isHold(call) ? 1 : 0;
    const late = (isStart(call) || isHold(call)) && count % 2 === 0;
    return late ? 2000 + (count % 5) * 1000 : 'answered';
  });
}

async function beRebornAmidLateOrders() {
  makeOrdersLate();
  await handIn('a');
  await pause(1000);
  await startAgain(300);
  beat();
  await handIn('b');
  await pause(1500);
  setFates(() => 'answered');
}

/**
 * Polls that wait on the path, with expiries on the clocks of the former lives,
 * reach the next lives, which then hold the longest lease.
 */
async function beRebornBeforePolls() {
  setFates(() => 'held');
  await startAgain(2000);
  beat();
  await pause(500);
  setFates(() => 'answered');
  struck().forEach(({ path }) => {
    path.release();
  });
  deployment.note('polls that were held are carried out');
  const answersBefore = struck().map(({ path }) => path.answers);
  await waitUntil(() =>
    struck().every(
      ({ path }, number) => path.answers >= answersBefore[number] + 2,
    ),
  );
  await handIn();
  await waitForStarts();
}

const CASES = {
  /** The minions are reached again while the runs of their next lives go on. */
  noticed: async () => {
    setFates(call => (isHold(call) ? 'lost' : 'answered'));
    await startAgain();
    beat();
    await handIn();
    await pause(300);
    await cut(SHORT_CUT_MILLISECONDS);
  },
  /** Polls for the former lives reach the next ones before a heartbeat comes. */
  'polls-before-heartbeats': async () => {
    setFates(call => (isHold(call) ? 'lost' : 'answered'));
    await startAgain();
    await handIn();
    await pause(SHORT_WORK_MILLISECONDS + 500);
    setFates(() => 'answered');
    await pause(1000);
    beat();
  },
  'no-contact': async () => {
    await startUnnoticed('unanswered');
    await cut(LONG_CUT_MILLISECONDS);
  },
  'no-contact-for-long': async () => {
    await startUnnoticed('unanswered');
    await cut(LONGER_CUT_MILLISECONDS);
  },
  /** As `no-contact`, but starts are answered; their answers name no life. */
  'no-contact-but-answers': async () => {
    await startUnnoticed('answered');
    await cut(LONG_CUT_MILLISECONDS);
  },
  'no-contact-leader-killed': async () => {
    await startUnnoticed('answered');
    killLeader();
    await pause(KILL_BEFORE_CUT_MILLISECONDS);
    await cut(LONG_CUT_MILLISECONDS);
  },
  /** The whole VM is cut off, with the agent. */
  'no-contact-side-cut': async () => {
    await startUnnoticed('answered');
    await cutSides(LONG_CUT_MILLISECONDS);
    struck().forEach(({ path }) => {
      path.open();
    });
    beat();
  },
  'agent-killed': async () => {
    setFates(call => (isHold(call) ? 'lost' : 'answered'));
    await startAgain();
    await handIn();
    await waitForStarts();
    struckAgents().forEach(agent => {
      deployment.signal(agent, 'SIGKILL');
    });
    setFates(() => 'answered');
    beat();
    await pause(LONG_CUT_MILLISECONDS);
  },
  'agent-killed-no-contact': async () => {
    await startUnnoticed('answered');
    struckAgents().forEach(agent => {
      deployment.signal(agent, 'SIGKILL');
    });
    await cut(LONG_CUT_MILLISECONDS);
  },
  'late-orders': async () => {
    await beRebornAmidLateOrders();
    await pause(LONG_CUT_MILLISECONDS);
  },
  'late-orders-and-cut': async () => {
    await beRebornAmidLateOrders();
    await cut(CUT_MILLISECONDS);
  },
  /** Starts get no answer, are revoked by stops, and reach the next lives. */
  'revoked-start-carried-out-late': async () => {
    setFates(call => (isStart(call) ? 4000 : 'answered'));
    await handIn();
    await pause(1000);
    setFates(() => 'answered');
    await pause(2000);
    await startAgain();
    beat();
  },
  'poll-carried-out-late': async () => {
    await beRebornBeforePolls();
    killLeader();
    await pause(KILL_BEFORE_CUT_MILLISECONDS);
    await cut(LONG_CUT_MILLISECONDS);
  },
  /** As above, and the whole VM is cut off, with the agent. */
  'poll-carried-out-late-side-cut': async () => {
    await beRebornBeforePolls();
    killLeader();
    await pause(KILL_BEFORE_CUT_MILLISECONDS);
    await cutSides(LONG_CUT_MILLISECONDS);
  },
};

/**
 * Starts after an end `done` that was taken note of then or later: acknowledged,
 * without the lease of its minion being over in between.
 */
function startsAfterSuccess() {
  const { events } = deployment;
  return events
    .filter(({ event }) => event === 'done')
    .flatMap(end => {
      const noted = firstOf(end, 'acked', ({ task, run }) => {
        return task === end.task && run === end.run;
      });
      const lapsed = firstOf(end, 'lease-over', () => true);
      return noted === undefined || lapsed?.at <= noted.at
        ? []
        : events
            .filter(({ event, task, at }) => {
              return event === 'start' && task === end.task && at > end.at;
            })
            .map(({ run, minion, at }) => {
              return `${end.task}: ${minion}/${run} began at ${at} ms, after ${end.minion}/${end.run} was done at ${end.at} ms, noted at ${noted.at} ms`;
            });
    });
}

/** First event of a kind on the minion of an end, from that end on. */
function firstOf(end, kind, matches) {
  const { events } = deployment;
  return events
    .slice(events.indexOf(end))
    .find(
      candidate =>
        candidate.event === kind &&
        candidate.minion === end.minion &&
        matches(candidate),
    );
}

const disturb = CASES[name];
if (disturb === undefined) {
  process.stderr.write(`one of: ${Object.keys(CASES).join(', ')}\n`);
  process.exit(2);
}
await deployment.start();
await deployment.submit('0'.repeat(16), EARLIER_JOB);
await pause(2000);
deployment.note(`disturbance: ${name}`);
await disturb();
await pause(WATCH_MILLISECONDS);

const overlaps = deployment.overlaps();
const again = startsAfterSuccess();
const elsewhere = deployment.events.find(
  ({ event, run, at }) => event === 'start' && run > 1 && at > rebornAt,
);
const after = elsewhere === undefined ? '-' : `${elsewhere.at - rebornAt} ms`;
process.stdout.write(
  [
    `${name}: ${overlaps.length} pairs of runs at once, ${again.length} starts after a success that was noted, first start elsewhere after ${after}; record ${deployment.options.record}`,
    ...[...overlaps.slice(0, PAIRS_SHOWN), ...again.slice(0, PAIRS_SHOWN)].map(
      text => `  ${text}`,
    ),
    '',
  ].join('\n'),
);
deployment.finish(overlaps.length + again.length > 0 ? 1 : 0);
