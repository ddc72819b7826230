import t from 'tap';

import { rendezvousRank } from '../../src/util/rendezvous-rank.js';

const nodes = Array.from({ length: 11 }, (_, index) => `node-${index}`);

const keys = Array.from({ length: 500 }, (_, index) => `key-${index}`);

t.test('the rank does not depend on the order of the nodes', t => {
  for (const key of keys.slice(0, 20)) {
    const reversed = [...nodes].reverse();
    t.same(rendezvousRank(key, nodes), rendezvousRank(key, reversed));
  }
  t.end();
});

t.test('a node that leaves moves only its own keys', t => {
  const fewer = nodes.slice(1);
  for (const key of keys) {
    const before = rendezvousRank(key, nodes)[0];
    const after = rendezvousRank(key, fewer)[0];
    if (before !== nodes[0]) {
      t.equal(after, before);
    }
  }
  t.end();
});
