import t from 'tap';

import type { ClaimView } from '../../src/leadership/decide-claim.js';
import { shouldClaim } from '../../src/leadership/decide-claim.js';

const record = {
  epoch: 3,
  name: 'other',
  life: 'life',
  address: '127.0.0.1:1',
  resigned: false,
};

const view: ClaimView = {
  record,
  silentMilliseconds: 0,
  ownName: 'me',
  ownLife: 'mine',
  provenGone: false,
  courtesyMilliseconds: 100,
};

const CASES: readonly [string, Partial<ClaimView>, boolean][] = [
  ['a leader that was just heard', {}, false],
  ['a leader silent for too short a time', { silentMilliseconds: 2099 }, false],
  ['a silent leader', { silentMilliseconds: 2100 }, true],
  ['nobody ever led, courtesy', { record: undefined }, false],
  ['nobody ever led', { record: undefined, silentMilliseconds: 100 }, true],
  [
    'a leader that resigned',
    { record: { ...record, resigned: true }, silentMilliseconds: 100 },
    true,
  ],
  ['a leader proven gone', { provenGone: true, silentMilliseconds: 100 }, true],
  [
    'an earlier life of this process',
    { record: { ...record, name: 'me' } },
    true,
  ],
  [
    'an own claim of which the answer was lost',
    { record: { ...record, life: 'mine' }, silentMilliseconds: 100 },
    true,
  ],
];

t.test('when to claim the lead', t => {
  for (const [title, fields, claims] of CASES) {
    t.equal(shouldClaim({ ...view, ...fields }), claims, title);
  }
  t.end();
});
