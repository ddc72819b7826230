import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import t from 'tap';

import type { LeaderRecord } from '../../src/leadership/leader-record.js';
import { Leadership } from '../../src/leadership/leadership.js';
import { anchoredTime } from '../../src/time/anchored-time.js';
import { pause } from '../../src/time/pause.js';
import { MemoryStore } from '../support/memory-store.js';
import { quietLogger } from '../support/quiet-logger.js';

function candidate(
  name: string,
  log: MemoryStore,
  epochs: number[],
): Leadership {
  return new Leadership({
    name,
    life: `life of ${name}`,
    address: '127.0.0.1:1',
    log,
    time: anchoredTime(),
    logger: quietLogger,
    onWon: epoch => epochs.push(epoch),
    onLost: () => undefined,
    onLeader: () => undefined,
  });
}

t.test(
  'no two claims have the same epoch, though a late renewal hides one',
  async t => {
    const log = new MemoryStore(seededRandom(1));
    const earlier: LeaderRecord = {
      epoch: 1,
      name: 'c',
      life: 'life of c',
      address: '127.0.0.1:2',
      resigned: true,
    };
    await log.claim(earlier, 0);
    const epochs: number[] = [];
    const first = candidate('a', log, epochs);
    void first.run();
    await pause(20);
    t.equal(epochs.length, 1, 'the first has claimed');
    // The renewal that the earlier life had under way is carried out only now.
    await log.claim(earlier, (await log.newest()).end);
    const second = candidate('b', log, epochs);
    void second.run();
    await pause(700);
    t.equal(epochs.length, 2, 'the second has claimed');
    t.ok((epochs[1] ?? 0) > (epochs[0] ?? 0), `epochs ${epochs.join(', ')}`);
    t.equal([first, second].filter(each => each.isValid()).length, 1);
    first.stop();
    second.stop();
  },
);
