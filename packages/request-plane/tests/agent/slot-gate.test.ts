import fc from 'fast-check';
import t from 'tap';

import { SlotGate } from '../../src/agent/slot-gate.js';

type Step =
  | {
      readonly kind: 'enter';
      readonly team: number;
      readonly millisecondsToDeadline: number;
    }
  | { readonly kind: 'leave' }
  | { readonly kind: 'cancel'; readonly target: number }
  | { readonly kind: 'wait'; readonly milliseconds: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('enter' as const),
    team: fc.integer({ min: 0, max: 2 }),
    millisecondsToDeadline: fc.integer({ min: 0, max: 200 }),
  }),
  fc.record({ kind: fc.constant('leave' as const) }),
  fc.record({
    kind: fc.constant('cancel' as const),
    target: fc.integer({ min: 0, max: 30 }),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    milliseconds: fc.integer({ min: 1, max: 50 }),
  }),
);

t.test('slots are never exceeded; no request is answered twice', t => {
  const property = fc.property(
    fc.array(stepArbitrary, { maxLength: 120 }),
    fc.integer({ min: 1, max: 8 }),
    (steps, slots) => {
      const gate = new SlotGate(slots);
      const answers = new Map<string, string[]>();
      let running = 0;
      let now = 0;
      let entered = 0;
      for (const step of steps) {
        if (step.kind === 'enter') {
          const requestId = `request-${entered}`;
          entered += 1;
          const requestAnswers: string[] = [];
          answers.set(requestId, requestAnswers);
          const deadline = now + step.millisecondsToDeadline;
          gate.requestSlot(
            {
              requestId,
              team: `team-${step.team}`,
              teamWeight: 1,
              deadline,
              grant: () => {
                requestAnswers.push('granted');
                running += 1;
              },
              refuse: () => requestAnswers.push('refused'),
            },
            now,
          );
        } else if (step.kind === 'leave' && running > 0) {
          running -= 1;
          gate.releaseSlot(now);
        } else if (step.kind === 'cancel') {
          gate.cancel(`request-${step.target}`);
        } else if (step.kind === 'wait') {
          now += step.milliseconds;
        }
        if (running > slots || gate.running !== running) {
          return false;
        }
      }
      gate.close('closed');
      const waiting = gate.queued;
      const twice = [...answers.values()].some(
        answersOfRequest => answersOfRequest.length > 1,
      );
      return waiting === 0 && !twice;
    },
  );
  fc.assert(property, { seed: 20261204, numRuns: 500 });
  t.pass('held in 500 runs');
  t.end();
});

t.test('a request that cannot finish before its deadline is refused', t => {
  const gate = new SlotGate(1);
  gate.serviceTime.add(100, 0);
  const answers: string[] = [];
  const enter = (requestId: string, deadline: number): void => {
    gate.requestSlot(
      {
        requestId,
        team: 'team',
        teamWeight: 1,
        deadline,
        grant: () => answers.push(`${requestId} granted`),
        refuse: reason => answers.push(`${requestId} ${reason}`),
      },
      0,
    );
  };
  enter('first', 150);
  enter('second', 150);
  enter('third', 250);
  gate.releaseSlot(160);
  t.same(answers, [
    'first granted',
    'second cannot finish before the deadline',
    'third cannot finish before the deadline',
  ]);
  t.equal(gate.running, 0);
  t.end();
});

t.test('a team that floods the queue does not starve another', t => {
  const gate = new SlotGate(1);
  const order: string[] = [];
  const enter = (requestId: string, team: string): void => {
    gate.requestSlot(
      {
        requestId,
        team,
        teamWeight: 1,
        deadline: 1_000_000,
        grant: () => order.push(team),
        refuse: () => order.push('refused'),
      },
      0,
    );
  };
  for (let index = 0; index < 10; index += 1) {
    enter(`flood-${index}`, 'flood');
  }
  enter('single', 'quiet');
  for (let index = 0; index < 10; index += 1) {
    gate.releaseSlot(0);
  }
  t.ok(order.indexOf('quiet') <= 2, order.join(' '));
  t.end();
});
