import { callHttp } from '@basilcourse/foundation/http/call-http';
import type { HttpResponse } from '@basilcourse/foundation/http/http-response';
import type { Test } from 'tap';
import t from 'tap';

import { MinionServer } from '../src/minion/minion-server.js';
import { pause } from '../src/time/pause.js';

const TIMEOUT_MILLISECONDS = 300;

interface Harness {
  readonly minion: MinionServer;
  readonly events: readonly string[];
  readonly call: (path: string, fields: object) => Promise<HttpResponse>;
}

async function startMinion(t: Test): Promise<Harness> {
  const events: string[] = [];
  const minion = new MinionServer({
    name: 'm',
    service: 's',
    zone: 'z',
    processorMillicores: 1000,
    memoryMegabytes: 1000,
    agentAddress: '127.0.0.1:9',
    onEvent: ({ kind, task, run }) => {
      events.push(`${kind} ${task}/${run}`);
    },
  });
  const address = await minion.listen('127.0.0.1:0');
  t.teardown(() => {
    minion.server.closeAllConnections();
    minion.server.close();
  });
  const call = (path: string, fields: object): Promise<HttpResponse> =>
    callHttp({
      step: 's',
      address,
      method: 'POST',
      path: `/-/${path}`,
      headers: { 'basilcourse-expected-instance': 'm' },
      body: Buffer.from(JSON.stringify({ fencing_token: 1, ...fields })),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
  return { minion, events, call };
}

const ORDER = {
  task: 'j.0.0.0',
  run: 1,
  specification: 'lasting',
  expires_ms: 60_000,
};

t.test('a call that names the id is taken by the next life', async t => {
  const { minion, events, call } = await startMinion(t);
  const waiting = call('hold', { wait_ms: 200 });
  await pause(50);
  minion.restartUnnoticed();
  await t.rejects(waiting, 'a call to the former life gets no answer');
  const started = await call('run-start', ORDER);
  t.equal(started.status, 200);
  t.notMatch(started.body.toString(), 'born', 'an order is answered by an id');
  const { body } = await call('hold', {});
  t.match(JSON.parse(body.toString()), {
    born: minion.life.born,
    running: [['j.0.0.0', 1]],
  });
  t.same(events, ['started j.0.0.0/1']);
});

t.test('a late order gets no answer, and reaches the next life', async t => {
  const { minion, events, call } = await startMinion(t);
  minion.lateCalls.active = true;
  t.equal((await call('hold', {})).status, 200, 'each second call is late');
  await t.rejects(call('run-start', ORDER));
  minion.lateCalls.active = false;
  const { born } = minion.life;
  await pause(10);
  minion.restartUnnoticed();
  t.ok(minion.life.born > born);
  t.same(events, []);
  await pause(4500);
  t.same(events, ['started j.0.0.0/1']);
});
