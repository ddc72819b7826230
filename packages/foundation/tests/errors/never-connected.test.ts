import t from 'tap';

import { connectionRefused } from '../../src/errors/connection-refused.js';
import { neverConnected } from '../../src/errors/never-connected.js';
import { PeerUnreachableError } from '../../src/errors/peer-unreachable-error.js';

function failure(code: string): PeerUnreachableError {
  const cause = Object.assign(new Error('it failed'), { code });
  return new PeerUnreachableError('step', 'peer', cause);
}

t.test('which failures show that nothing was sent, or nobody listens', t => {
  const cases: readonly [unknown, boolean, boolean][] = [
    [failure('ECONNREFUSED'), true, true],
    [failure('EHOSTUNREACH'), true, false],
    [failure('ENETUNREACH'), true, false],
    [failure('ECONNRESET'), false, false],
    [new PeerUnreachableError('step', 'peer', 'no answer'), false, false],
    [new Error('ECONNREFUSED'), false, false],
    ['ECONNREFUSED', false, false],
  ];
  for (const [error, never, refused] of cases) {
    t.equal(neverConnected(error), never, String(error));
    t.equal(connectionRefused(error), refused, String(error));
  }
  t.end();
});
