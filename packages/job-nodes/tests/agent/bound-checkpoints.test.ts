import t from 'tap';

import { boundCheckpoints } from '../../src/agent/bound-checkpoints.js';
import type { PollResult } from '../../src/agent/poll-result.js';
import { quietLogger } from '../support/quiet-logger.js';

function resultWith(checkpoints: readonly string[]): PollResult {
  return {
    clock: 1,
    running: checkpoints.map((checkpoint, index) => ({
      task: `j.0.0.${index}`,
      run: 1,
      checkpoint,
      percent: 1,
      gauge: 0,
    })),
    ends: [],
    hasMoreEnds: false,
  };
}

t.test('checkpoints of the usual size are passed on as they are', t => {
  const result = resultWith(Array.from({ length: 500 }, () => '0'.repeat(16)));
  t.equal(boundCheckpoints(result, quietLogger), result);
  t.end();
});

// Guards against long checkpoints whose reports and orders close the streams.
t.test('checkpoints that are too long are left out', t => {
  const warnings: unknown[] = [];
  const result = boundCheckpoints(resultWith(['short', 'x'.repeat(5000)]), {
    ...quietLogger,
    warn: (_sentence, fields) => warnings.push(fields),
  });
  t.same(warnings, [{ leftOut: 1 }]);
  t.same(
    result.running.map(({ checkpoint }) => checkpoint),
    ['short', ''],
  );
  t.end();
});

t.test('all checkpoints of a poll together have a limited size', t => {
  const checkpoints = Array.from({ length: 2000 }, () => 'x'.repeat(4000));
  const result = boundCheckpoints(resultWith(checkpoints), quietLogger);
  t.equal(result.running.filter(row => row.checkpoint !== '').length, 250);
  t.equal(result.running.length, 2000, 'the runs are listed all the same');
  t.end();
});
