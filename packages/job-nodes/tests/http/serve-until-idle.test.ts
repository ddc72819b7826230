import type { Server, ServerResponse } from 'node:http';
import { Agent, createServer, get } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Test } from 'tap';
import t from 'tap';

import { serveUntilIdle } from '../../src/http/serve-until-idle.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';

interface Served {
  readonly server: Server;
  /** Answers that the test has yet to end. */
  readonly open: ServerResponse[];
  /** Asks over a connection that is kept; resolves with the whole answer. */
  readonly ask: () => Promise<string>;
}

async function serve(t: Test, answersAtOnce: boolean): Promise<Served> {
  const open: ServerResponse[] = [];
  const server = createServer((_, response) => {
    if (answersAtOnce) {
      response.end('whole');
    } else {
      open.push(response);
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => {
    agent.destroy();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const ask = (): Promise<string> =>
    new Promise((resolve, reject) => {
      get({ host: '127.0.0.1', port, agent }, answer => {
        let text = '';
        answer.setEncoding('utf8').on('data', (part: string) => {
          text += part;
        });
        answer.on('end', () => {
          resolve(text);
        });
      }).on('error', reject);
    });
  return { server, open, ask };
}

const time = anchoredTime();

async function stopTime(
  { server }: Served,
  closesIdleIn: number,
  endsIn: number,
): Promise<number> {
  const beganAt = time.steady();
  const times = {
    closesIdleAt: beganAt + closesIdleIn,
    endsAt: beganAt + endsIn,
  };
  await serveUntilIdle(server, times, time);
  return time.steady() - beganAt;
}

t.test('callers are served while they are still sent here', async t => {
  const served = await serve(t, true);
  await served.ask();
  const stopping = stopTime(served, 400, 3000);
  await pause(200);
  t.equal(await served.ask(), 'whole', 'over the open connection');
  const took = await stopping;
  t.ok(took >= 390 && took < 1500, `idle connections end it, ${took} ms`);
});

t.test('a request under way is answered first', async t => {
  const served = await serve(t, false);
  const answer = served.ask();
  const stopping = stopTime(served, 100, 5000);
  await pause(600);
  served.open.forEach(response => response.end('whole'));
  t.equal(await answer, 'whole');
  const took = await stopping;
  t.ok(took >= 590 && took < 3000, `${took} ms`);
});

t.test('the time to stop is kept, whoever is connected', async t => {
  const served = await serve(t, false);
  const answer = served.ask().catch(() => 'cut');
  const took = await stopTime(served, 100, 500);
  t.ok(took >= 490 && took < 1500, `${took} ms`);
  served.server.closeAllConnections();
  t.equal(await answer, 'cut');
});
