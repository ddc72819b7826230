import t from 'tap';

import type { ClaimConditions } from '../../src/leadership/decide-claim.js';
import { shouldClaim } from '../../src/leadership/decide-claim.js';

const record = {
  epoch: 3,
  name: 'other',
  life: 'life',
  address: '127.0.0.1:1',
  resigned: false,
};

const conditions: ClaimConditions = {
  record,
  sinceRecordMilliseconds: 0,
  ownName: 'me',
  ownIncarnation: 'mine',
  leaderTerminated: false,
  claimDelayMilliseconds: 100,
};

const CASES: readonly [string, Partial<ClaimConditions>, boolean][] = [
  ['a leader whose record was just read', {}, false],
  [
    'a leader shortly before the timeout',
    { sinceRecordMilliseconds: 2099 },
    false,
  ],
  ['a leader after the timeout', { sinceRecordMilliseconds: 2100 }, true],
  ['no leader so far, within the claim delay', { record: undefined }, false],
  [
    'no leader so far',
    { record: undefined, sinceRecordMilliseconds: 100 },
    true,
  ],
  [
    'a leader that has resigned',
    { record: { ...record, resigned: true }, sinceRecordMilliseconds: 100 },
    true,
  ],
  [
    'a leader that has terminated',
    { leaderTerminated: true, sinceRecordMilliseconds: 100 },
    true,
  ],
  [
    'an earlier incarnation of this process',
    { record: { ...record, name: 'me' } },
    true,
  ],
  [
    'an own claim whose answer was lost',
    { record: { ...record, life: 'mine' }, sinceRecordMilliseconds: 100 },
    true,
  ],
];

t.test('when to claim leadership', t => {
  for (const [title, fields, claims] of CASES) {
    t.equal(shouldClaim({ ...conditions, ...fields }), claims, title);
  }
  t.end();
});
