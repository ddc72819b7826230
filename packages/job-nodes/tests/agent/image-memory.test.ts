import t from 'tap';

import { ImageMemory } from '../../src/agent/image-memory.js';
import type { LeaderMessage } from '../../src/lines/leader-message.js';

function welcome(epoch: number): LeaderMessage {
  return {
    kind: 'welcome',
    epoch,
    fencingToken: epoch * 1000,
    leaseMilliseconds: 3000,
  };
}

const IMAGES = {
  harms: [{ serving: 's', filling: 'f', harm: 0.2, observations: 30 }],
  lowestTails: [{ image: 's', milliseconds: 31 }],
};

t.test('the next leader is given what the last one told', t => {
  const memory = new ImageMemory();
  t.equal(memory.take(welcome(1), 0), undefined, 'nothing is known yet');
  t.equal(memory.take({ kind: 'images', images: IMAGES }, 5), undefined);
  t.same(memory.take(welcome(2), 9), {
    kind: 'images',
    sentAt: 9,
    images: IMAGES,
  });
  t.end();
});
