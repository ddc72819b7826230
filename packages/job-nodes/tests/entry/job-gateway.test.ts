import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Test } from 'tap';
import t from 'tap';

import { JobGateway } from '../../src/entry/job-gateway.js';
import type { JobAnswer } from '../../src/leader/job-answer.js';
import type { JobCall } from '../../src/leader/job-call.js';
import type { LeaderRecord } from '../../src/leadership/leader-record.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { makeSpecification, makeStep } from '../support/make-specification.js';
import { QUEUE_SETTINGS } from '../support/queue-settings.js';
import { quietLogger } from '../support/quiet-logger.js';

const SUBMIT: JobCall = {
  kind: 'submit',
  specification: makeSpecification('job', [makeStep(1, 100)]),
  queue: QUEUE_SETTINGS,
};

const REFUSED: JobAnswer = {
  kind: 'refused',
  reason: 'the store does not answer',
  retryAfterSeconds: 1,
};

const NO_ANSWER = 'no answer';

/**
 * Starts a leader that gives the listed answers in order; the last one answers
 * all further calls.
 */
async function startPeer(
  t: Test,
  answers: readonly (JobAnswer | typeof NO_ANSWER)[],
): Promise<string> {
  let calls = 0;
  const server: Server = createServer((incoming, response) => {
    incoming.resume();
    const answer = answers[Math.min(calls, answers.length - 1)];
    calls += 1;
    if (answer !== NO_ANSWER) {
      response.end(JSON.stringify(answer));
    }
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function makeRecord(address: string, epoch: number): LeaderRecord {
  return {
    epoch,
    name: 'n',
    life: `incarnation ${epoch}`,
    address,
    resigned: false,
  };
}

async function callGateway(
  record: () => LeaderRecord | undefined,
  milliseconds: number,
): Promise<unknown> {
  const time = anchoredTime();
  const gateway = new JobGateway({
    time,
    logger: quietLogger,
    localLeader: () => undefined,
    leaderRecord: record,
  });
  return gateway.call(SUBMIT, time.steady() + milliseconds);
}

t.test('outcome of a call that no leader accepts', async t => {
  const closed = createServer().listen(0, '127.0.0.1');
  await new Promise(resolve => closed.once('listening', resolve));
  const { port } = closed.address() as AddressInfo;
  await new Promise(resolve => closed.close(resolve));
  const cases: readonly [string, string | undefined, unknown][] = [
    ['no leader is recorded', undefined, { kind: 'unavailable', sent: false }],
    [
      'its process has ended',
      `127.0.0.1:${port}`,
      { kind: 'unavailable', sent: false },
    ],
    [
      'it is not the leader',
      await startPeer(t, [{ kind: 'not-leading' }]),
      { kind: 'unavailable', sent: false },
    ],
    [
      'it lost the leadership before the append was confirmed',
      await startPeer(t, [{ kind: 'unknown' }]),
      { kind: 'unavailable', sent: true },
    ],
    ['it refuses', await startPeer(t, [REFUSED]), REFUSED],
  ];
  for (const [title, address, expected] of cases) {
    const record = address === undefined ? undefined : makeRecord(address, 1);
    t.same(await callGateway(() => record, 400), expected, title);
  }
});

t.test('a refusal after a try without an answer is not returned', async t => {
  const address = await startPeer(t, [NO_ANSWER, REFUSED]);
  const answer = await callGateway(() => makeRecord(address, 1), 1800);
  t.same(answer, { kind: 'unavailable', sent: true });
});

t.test('a refusal of a later leader is returned', async t => {
  const earlier = await startPeer(t, [NO_ANSWER]);
  const later = await startPeer(t, [REFUSED]);
  let tries = 0;
  const record = (): LeaderRecord => {
    tries += 1;
    return tries === 1 ? makeRecord(earlier, 1) : makeRecord(later, 2);
  };
  t.same(await callGateway(record, 1800), REFUSED);
});

t.test('an answer after a try without one ends the call', async t => {
  const address = await startPeer(t, [NO_ANSWER, { kind: 'accepted' }]);
  const answer = await callGateway(() => makeRecord(address, 1), 1800);
  t.same(answer, { kind: 'accepted' });
});
