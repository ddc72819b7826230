import t from 'tap';

import { MinionLife } from '../src/minion/minion-life.js';

interface Harness {
  readonly life: MinionLife;
  readonly events: readonly string[];
}

function startLife(): Harness {
  const events: string[] = [];
  const life = new MinionLife('m', 'i-1', 1, ({ kind, task, run, reason }) => {
    events.push(`${kind} ${task}/${run} ${reason}`.trim());
  });
  return { life, events };
}

const ORDER = {
  task: 'j.0.0.0',
  run: 2,
  payload: 'work_ms=500',
  checkpoint: '',
};

t.test('a run ends when its work is done, and its end is listed', t => {
  const { life, events } = startLife();
  t.equal(life.start(ORDER, 5000, 0), undefined);
  t.equal(life.start(ORDER, 5000, 10), undefined, 'the same again');
  t.equal(life.start({ ...ORDER, run: 1 }, 5000, 10), 'old');
  t.equal(life.start({ ...ORDER, task: 'k' }, 5, 10), 'late');
  life.advance(400);
  t.equal(life.lists(400).running.length, 1);
  life.advance(500);
  t.same(life.lists(500).finished, [[1, 'j.0.0.0', 2, 'done', '']]);
  t.equal(life.start(ORDER, 5000, 600), 'old', 'it has ended');
  life.acknowledge(1);
  t.same(life.lists(600).finished, []);
  t.same(events, [
    'started j.0.0.0/2',
    'ended j.0.0.0/2 done',
    'acknowledged j.0.0.0/2 done',
  ]);
  t.end();
});

t.test('a lease ends all, a stop also what has not begun', t => {
  const { life, events } = startLife();
  life.start({ ...ORDER, payload: 'lasting' }, 1000, 0);
  life.extendLease(60_000, 0);
  life.advance(10_000);
  t.equal(life.lists(0).running.length, 1, 'leases are cut to 10 s');
  life.advance(10_001);
  life.stop('k.0.0.0', 4, 10_100);
  t.equal(life.start({ ...ORDER, task: 'k.0.0.0', run: 4 }, 20_000, 0), 'old');
  t.same(events, ['started j.0.0.0/2', 'ended j.0.0.0/2 lapsed']);
  t.end();
});

t.test('an end is not taken note of once the lease was over', t => {
  const { life, events } = startLife();
  life.start(ORDER, 5000, 0);
  life.start({ ...ORDER, task: 'k.0.0.0', payload: 'lasting' }, 5000, 0);
  life.advance(500);
  life.advance(5001);
  life.extendLease(9000, 5100);
  life.start({ ...ORDER, task: 'l.0.0.0' }, 9000, 5100);
  life.advance(5600);
  life.acknowledge(3);
  t.same(events.slice(-3), [
    'forgotten j.0.0.0/2 done',
    'forgotten k.0.0.0/2 lapsed',
    'acknowledged l.0.0.0/2 done',
  ]);
  t.end();
});

t.test('tokens never fall, and checkpoints are resumed from', t => {
  const { life } = startLife();
  t.ok(life.acceptsToken(7));
  t.notOk(life.acceptsToken(6));
  const saving = { ...ORDER, payload: 'work_ms=9000 saves' };
  life.start(saving, 9000, 0);
  life.stop('j.0.0.0', 2, 2500);
  const [end] = life.lists(2500).finished;
  t.same(end, [1, 'j.0.0.0', 2, 'stopped', '00000000000007d0']);
  const resumed = { ...saving, run: 3, checkpoint: '00000000000007d0' };
  life.start(resumed, 13_000, 3000);
  life.advance(9999);
  t.equal(life.lists(9999).running.length, 1);
  life.advance(10_000);
  t.same(life.lists(10_000).running, []);
  t.end();
});
