import t from 'tap';

import { BoundedMap } from '../../src/util/bounded-map.js';

t.test('the oldest entry is evicted first', t => {
  const map = new BoundedMap<number>(2);
  map.set('a', 1);
  map.set('b', 2);
  map.set('a', 3);
  map.set('c', 4);
  t.same([...map.values()], [3, 4]);
  t.equal(map.dropped, 1);
  t.end();
});

t.test('entries are removed, oldest first, while the condition holds', t => {
  const map = new BoundedMap<number>(9);
  map.set('a', 1);
  map.set('b', 5);
  map.set('c', 2);
  map.dropWhile(value => value < 3);
  t.same([...map.values()], [5, 2]);
  t.end();
});
