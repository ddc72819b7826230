import type { AddressInfo } from 'node:net';

import t from 'tap';

import { createInternalServer } from '../../src/entry/internal-server.js';
import { WatchStreams } from '../../src/entry/watch-streams.js';
import { callPeer } from '../../src/http/call-peer.js';
import type { Leader } from '../../src/leader/leader.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { quietLogger } from '../support/quiet-logger.js';

t.test('a call for another epoch is rejected', async t => {
  let acted = 0;
  const leader = {
    epoch: 7,
    answer: () => {
      acted += 1;
      return Promise.resolve({ kind: 'accepted' });
    },
  } as unknown as Leader;
  const server = createInternalServer({
    time: anchoredTime(),
    logger: quietLogger,
    incarnation: 'life',
    localLeader: () => leader,
    leaderRecord: () => undefined,
    watchStreams: new WatchStreams(() => ({})),
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = { kind: 'pending', queue: 'q' };
  const cases: readonly [number, string, number][] = [
    [6, 'not-leading', 0],
    [8, 'not-leading', 0],
    [7, 'accepted', 1],
  ];
  for (const [epoch, kind, count] of cases) {
    const answer = await callPeer(address, '/call', { epoch, call }, 1000);
    t.same(answer, { kind }, `epoch ${epoch}`);
    t.equal(acted, count);
  }
});
