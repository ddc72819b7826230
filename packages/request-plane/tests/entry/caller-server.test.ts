import { once } from 'node:events';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';

import { ManualClock } from '@basilcourse/foundation/clock/manual-clock';
import { SequentialIdentifiers } from '@basilcourse/foundation/identifiers/sequential-identifiers';
import { splitAddress } from '@basilcourse/foundation/net/split-address';
import * as Effect from 'effect/Effect';
import t from 'tap';

import { CallerServer } from '../../src/entry/caller-server.js';
import { labelsService } from '../support/labels-service.js';

async function listeningServer(): Promise<{
  readonly server: CallerServer;
  readonly address: string;
}> {
  const server = new CallerServer({
    dispatcher: {
      dispatch: ({ body }) =>
        Effect.succeed({ kind: 'completed', status: 200, headers: [], body }),
    },
    services: () => new Map([['labels', labelsService]]),
    clock: new ManualClock(1000),
    identifiers: new SequentialIdentifiers(),
    events: { record: () => undefined },
    observer: { ended: () => undefined, refused: () => undefined },
  });
  return { server, address: await server.listen('127.0.0.1:0') };
}

function open(address: string, agent: Agent): ClientRequest {
  return request({
    ...splitAddress(address),
    method: 'POST',
    path: '/labels',
    agent,
    headers: { 'content-length': 4 },
  });
}

async function answerOf(outgoing: ClientRequest): Promise<{
  readonly status: number | undefined;
  readonly outcome: string;
  readonly connection: string;
  readonly text: string;
}> {
  const [answer] = (await once(outgoing, 'response')) as [IncomingMessage];
  const chunks = (await answer.toArray()) as Buffer[];
  return {
    status: answer.statusCode,
    outcome: String(answer.headers['basilcourse-outcome']),
    connection: String(answer.headers.connection),
    text: Buffer.concat(chunks).toString('utf8'),
  };
}

t.test('a drain waits for a request whose body is incomplete', async t => {
  const { server, address } = await listeningServer();
  const agent = new Agent({ keepAlive: true });
  const slow = open(address, agent);
  slow.write('la');
  while (server.requestsInFlight === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  let drained = false;
  const draining = server.drain().then(() => {
    drained = true;
  });
  await new Promise(resolve => setImmediate(resolve));
  t.equal(drained, false, 'the drain waits for the rest of the body');
  slow.end('te');
  t.match(await answerOf(slow), { status: 503, outcome: 'not-run' });
  await draining;
  t.equal(server.requestsInFlight, 0);
  await server.close();
  agent.destroy();
});

t.test('a leaving server answers and closes connections', async t => {
  const { server, address } = await listeningServer();
  const agent = new Agent({ keepAlive: true });
  const before = open(address, agent);
  before.end('once');
  t.match(await answerOf(before), { text: 'once', connection: 'keep-alive' });
  await server.startLeaving(0);
  t.equal(server.isLeaving, true);
  const during = open(address, agent);
  during.end('more');
  t.match(await answerOf(during), {
    status: 200,
    text: 'more',
    connection: 'close',
  });
  await server.drain();
  const after = open(address, agent);
  after.end('late');
  t.match(await answerOf(after), { status: 503, outcome: 'not-run' });
  await server.close();
  agent.destroy();
});

t.test('a drain does not wait for a caller that disconnected', async t => {
  const { server, address } = await listeningServer();
  const agent = new Agent();
  const slow = open(address, agent);
  slow.on('error', () => undefined);
  slow.write('la');
  while (server.requestsInFlight === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  slow.destroy();
  await server.drain();
  t.equal(server.requestsInFlight, 0);
  await server.close();
});
