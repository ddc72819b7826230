import t from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';

const PAIR = { serving: 's', filling: 'f', harm: 0.2, observations: 30 };

t.test('rows from all leaders are merged for the next leader', t => {
  const memory = new ImageMemory();
  t.same(memory.statistics(), { harms: [], lowestTails: [] });
  memory.apply({
    harms: [PAIR],
    lowestTails: [{ image: 's', milliseconds: 31 }],
  });
  memory.apply({
    harms: [{ ...PAIR, filling: 'g' }],
    lowestTails: [{ image: 's', milliseconds: 25 }],
  });
  t.same(memory.statistics(), {
    harms: [PAIR, { ...PAIR, filling: 'g' }],
    lowestTails: [{ image: 's', milliseconds: 25 }],
  });
  t.equal(
    memory.interference.reliableSlowdownPerCore('s', 'f'),
    0.2,
    'throttling uses the same rows',
  );
  t.end();
});
