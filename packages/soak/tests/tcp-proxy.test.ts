import { createServer } from 'node:http';

import { callHttp } from '@basilcourse/foundation/http/call-http';
import { listenOn } from '@basilcourse/foundation/net/listen-on';
import { pause } from '@basilcourse/platform-stand-in/time/pause';
import t from 'tap';

import type { ProxyMode } from '../src/tcp-proxy.js';
import { TcpProxy } from '../src/tcp-proxy.js';

t.test('a proxy disturbs the path as it is told', async t => {
  let received = 0;
  const server = createServer((_request, response) => {
    received += 1;
    response.end('answer');
  });
  const proxy = new TcpProxy(await listenOn(server, '127.0.0.1:0'));
  const address = await proxy.listen('127.0.0.1:0');
  t.teardown(() => {
    proxy.close();
    server.closeAllConnections();
    server.close();
  });
  const call = async (): Promise<string> => {
    const path = '/';
    const options = { step: 's', address, method: 'GET', path } as const;
    try {
      await callHttp({ ...options, timeoutMilliseconds: 500 });
      return 'answered';
    } catch {
      return 'not answered';
    }
  };
  const cases: readonly [ProxyMode, string, number][] = [
    ['forwards', 'answered', 1],
    ['drops-requests', 'not answered', 1],
    ['drops-answers', 'not answered', 2],
    ['drops-all', 'not answered', 2],
    ['resets', 'not answered', 2],
    ['forwards', 'answered', 3],
  ];
  for (const [mode, expected, count] of cases) {
    proxy.mode = 'resets';
    proxy.mode = mode;
    t.equal(await call(), expected, mode);
    t.equal(received, count, mode);
  }
  proxy.mode = 'holds';
  t.equal(await call(), 'not answered', 'holds');
  t.equal(received, 3, 'nothing is passed on');
  proxy.mode = 'forwards';
  await pause(100);
  t.equal(received, 4, 'what was held arrives, though its caller has gone');
  proxy.mode = 'delays';
  const startedAt = performance.now();
  await call();
  t.ok(performance.now() - startedAt >= 300, 'delays');
});
