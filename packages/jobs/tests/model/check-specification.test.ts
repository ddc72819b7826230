import t from 'tap';

import { checkSpecification } from '../../src/model/check-specification.js';
import type { StepSpecification } from '../../src/model/step-specification.js';
import { makeStep } from '../support/make-step.js';

const CASES: readonly [string, readonly StepSpecification[], boolean][] = [
  ['one task', [makeStep()], true],
  ['two steps in order', [makeStep(), makeStep({ after: [0] })], true],
  ['no steps', [], false],
  ['a step without tasks', [makeStep({ taskCount: 0 })], false],
  ['a million tasks', [makeStep({ taskCount: 1_000_000 })], false],
  ['a step after itself', [makeStep({ after: [0] })], false],
  ['a cycle', [makeStep({ after: [1] }), makeStep({ after: [0] })], false],
  ['a long name', [makeStep({ image: 'i'.repeat(256) })], true],
  ['an image without end', [makeStep({ image: 'i'.repeat(257) })], false],
  ['a rack without end', [makeStep({ dataRack: 'r'.repeat(261_900) })], false],
  [
    'a label without end',
    [makeStep({ requiredLabel: 'l'.repeat(5000) })],
    false,
  ],
  ['an unknown step', [makeStep(), makeStep({ after: [9] })], false],
];

t.test('accepts valid specifications only', t => {
  for (const [title, steps, accepted] of CASES) {
    const problem = checkSpecification({
      identifier: 'j',
      queue: 'q',
      payload: '',
      steps,
      repetitions: 0,
      firstDueAt: 0,
      intervalMilliseconds: 0,
    });
    t.equal(problem === undefined, accepted, title);
  }
  t.end();
});
