import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import t from 'tap';

import { runSoak } from '../../src/run-soak.js';

const SEED = 31;

const SECONDS = 20;

// The long soak is started by hand: npm run soak -- --seed N --seconds S.
t.test('nothing is broken in a short soak of the real programs', async t => {
  const directory = mkdtempSync(join(tmpdir(), 'soak-'));
  const result = await runSoak({
    seed: SEED,
    seconds: SECONDS,
    entries: 3,
    agents: 3,
    directory,
  });
  t.same(result.breaches, [], `seed ${SEED}, see ${directory}`);
  t.equal(result.refusedAppends, 0);
  t.ok(result.troubles > 5, `${result.troubles} troubles`);
  t.ok(result.starts > 100, `${result.starts} starts`);
  if (result.breaches.length === 0) {
    rmSync(directory, { recursive: true });
  }
});
