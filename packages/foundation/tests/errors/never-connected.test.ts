import t from 'tap';

import { connectionRefused } from '../../src/errors/connection-refused.js';
import { neverConnected } from '../../src/errors/never-connected.js';
import { PeerUnreachableError } from '../../src/errors/peer-unreachable-error.js';

function unreachableError(code: string): PeerUnreachableError {
  const cause = Object.assign(new Error('connection failed'), { code });
  return new PeerUnreachableError('step', 'peer', cause);
}

t.test(
  'errors are classified by whether a connection was made or refused',
  t => {
    const cases: readonly [unknown, boolean, boolean][] = [
      [unreachableError('ECONNREFUSED'), true, true],
      [unreachableError('EHOSTUNREACH'), true, false],
      [unreachableError('ENETUNREACH'), true, false],
      [unreachableError('ECONNRESET'), false, false],
      [new PeerUnreachableError('step', 'peer', 'no answer'), false, false],
      [new Error('ECONNREFUSED'), false, false],
      ['ECONNREFUSED', false, false],
    ];
    for (const [error, never, refused] of cases) {
      t.equal(neverConnected(error), never, String(error));
      t.equal(connectionRefused(error), refused, String(error));
    }
    t.end();
  },
);
