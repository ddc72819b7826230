import t from 'tap';

import { encodeEstimates } from '../../src/leader/encode-estimates.js';
import type { StoredEstimates } from '../../src/leader/stored-estimates.js';

const ROWS = 3000;

const ESTIMATES: StoredEstimates = {
  images: {
    harms: Array.from({ length: ROWS }, (_, number) => ({
      serving: `s-${number}`,
      filling: '"'.repeat(200),
      harm: 0.2,
      observations: 30,
    })),
    lowestTails: [{ image: 's', milliseconds: 12.5 }],
  },
  loads: { period: 20_000, jobs: [{ job: 'j', image: 's', samples: [] }] },
};

// Guards against estimates of many images that keep jobs from being stored.
t.test('estimates fit a record', t => {
  const whole = encodeEstimates(ESTIMATES, 10_000_000);
  t.same(JSON.parse(whole.text), ESTIMATES);
  t.equal(whole.leftOut, 0);
  for (const bytes of [262_144, 5000, 100]) {
    const { text, leftOut } = encodeEstimates(ESTIMATES, bytes);
    t.ok(Buffer.byteLength(text) <= bytes, `${text.length} of ${bytes}`);
    const kept = JSON.parse(text) as StoredEstimates;
    t.ok(leftOut >= ROWS - kept.images.harms.length);
  }
  t.end();
});
