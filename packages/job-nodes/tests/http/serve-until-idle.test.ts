import type { Server, ServerResponse } from 'node:http';
import { Agent, createServer, get } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Test } from 'tap';
import t from 'tap';

import { serveUntilIdle } from '../../src/http/serve-until-idle.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';

interface RunningServer {
  readonly server: Server;
  /** Responses that the test has not ended yet. */
  readonly open: ServerResponse[];
  /**
   * Sends a request over a kept-alive connection; resolves with the whole
   * response body.
   */
  readonly sendRequest: () => Promise<string>;
}

async function startServer(
  t: Test,
  answersAtOnce: boolean,
): Promise<RunningServer> {
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
  const sendRequest = (): Promise<string> =>
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
  return { server, open, sendRequest };
}

const time = anchoredTime();

async function measureStop(
  { server }: RunningServer,
  closesIdleIn: number,
  endsIn: number,
): Promise<number> {
  const startedAt = time.steady();
  const deadlines = {
    closesIdleAt: startedAt + closesIdleIn,
    endsAt: startedAt + endsIn,
  };
  await serveUntilIdle(server, deadlines, time);
  return time.steady() - startedAt;
}

t.test('callers are served while they are still routed here', async t => {
  const served = await startServer(t, true);
  await served.sendRequest();
  const stopping = measureStop(served, 400, 3000);
  await pause(200);
  t.equal(await served.sendRequest(), 'whole', 'over the open connection');
  const took = await stopping;
  t.ok(
    took >= 390 && took < 1500,
    `ends once idle connections are closed, ${took} ms`,
  );
});

t.test('a request in progress is answered first', async t => {
  const served = await startServer(t, false);
  const answer = served.sendRequest();
  const stopping = measureStop(served, 100, 5000);
  await pause(600);
  served.open.forEach(response => response.end('whole'));
  t.equal(await answer, 'whole');
  const took = await stopping;
  t.ok(took >= 590 && took < 3000, `${took} ms`);
});

t.test('the shutdown deadline holds even with open connections', async t => {
  const served = await startServer(t, false);
  const answer = served.sendRequest().catch(() => 'cut');
  const took = await measureStop(served, 100, 500);
  t.ok(took >= 490 && took < 1500, `${took} ms`);
  served.server.closeAllConnections();
  t.equal(await answer, 'cut');
});
