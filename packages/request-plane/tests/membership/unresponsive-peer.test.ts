import { createServer as createHttp2Server } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { systemClock } from '@basilcourse/foundation/clock/system-clock';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import * as Effect from 'effect/Effect';
import t from 'tap';

import type { HeartbeatDependencies } from '../../src/membership/exchange-heartbeats.js';
import { exchangeHeartbeat } from '../../src/membership/exchange-heartbeats.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { OwnMember } from '../../src/membership/own-member.js';
import { PeerTransports } from '../../src/transport/peer-transports.js';

function createDependencies(): HeartbeatDependencies {
  const own = new OwnMember({
    id: 'agent-1',
    instance: 'agent-1-run',
    incarnation: 1,
    role: 'agent',
    address: '127.0.0.1:1',
    operatorsAddress: '127.0.0.1:2',
    region: 'here',
    availabilityZone: 'here-1',
    rack: 'rack',
    state: 'alive',
    workerAddress: '',
    worker: '',
    processors: 0,
    memoryGigabytes: 0,
    accelerators: 0,
    upstreams: [],
    suspectedBy: [],
  });
  return {
    transports: new PeerTransports({ current: 'key', other: '' }, connect),
    members: new MemberTable('agent-1', 'agent-1-run', {
      record: () => undefined,
    }),
    own,
    clock: systemClock,
    random: seededRandom(1),
    loads: () => [],
  };
}

t.test(
  'a peer that accepts connections and never answers does not end the process',
  async t => {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const dependencies = createDependencies();
    const address = `127.0.0.1:${port}`;
    for (let round = 0; round < 2; round += 1) {
      const progress = await Effect.runPromise(
        exchangeHeartbeat(dependencies, address),
      );
      t.equal(progress.seenInstance, '');
    }
    t.equal(sockets.length, 2, 'each try after a time-out opens a connection');
    for (const socket of sockets) {
      socket.destroy();
    }
    server.close();
  },
);

t.test(
  'a peer that closes during its GOAWAY frame does not end the process',
  async t => {
    const server = createHttp2Server();
    server.on('session', session => {
      session.on('error', () => undefined);
      session.once('stream', stream => {
        stream.on('error', () => undefined);
        session.goaway();
        setImmediate(() => {
          session.destroy();
        });
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const dependencies = createDependencies();
    for (let round = 0; round < 20; round += 1) {
      const address = `127.0.0.1:${port}`;
      const progress = await Effect.runPromise(
        exchangeHeartbeat(dependencies, address),
      );
      t.equal(progress.seenInstance, '');
    }
    server.close();
  },
);
