import t from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';

const PAIR = { serving: 's', filling: 'f', harm: 0.2, observations: 30 };

t.test('what leaders told adds up to what the next one is given', t => {
  const memory = new ImageMemory();
  t.same(memory.knowledge(), { harms: [], lowestTails: [] });
  memory.take({
    harms: [PAIR],
    lowestTails: [{ image: 's', milliseconds: 31 }],
  });
  memory.take({
    harms: [{ ...PAIR, filling: 'g' }],
    lowestTails: [{ image: 's', milliseconds: 25 }],
  });
  t.same(memory.knowledge(), {
    harms: [PAIR, { ...PAIR, filling: 'g' }],
    lowestTails: [{ image: 's', milliseconds: 25 }],
  });
  t.equal(
    memory.harms.reliableSlowdownPerCore('s', 'f'),
    0.2,
    'the pace goes by the same',
  );
  t.end();
});
