import t from 'tap';

import { GrantedLeases } from '../../src/cell/granted-leases.js';

t.test('an attempt lapses after its latest grant and all inherited ones', t => {
  const ledger = new GrantedLeases();
  ledger.grant('a', 50);
  ledger.grant('a', 40);
  t.equal(ledger.expiresAt('a'), 50);
  ledger.inherit(70);
  t.equal(ledger.expiresAt('a'), 70);
  t.equal(ledger.expiresAt('b'), 70);
  ledger.grant('a', 90);
  t.equal(ledger.expiresAt('a'), 90);
  t.end();
});
