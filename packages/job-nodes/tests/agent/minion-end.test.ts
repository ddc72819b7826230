import t from 'tap';

import { pause } from '../../src/time/pause.js';
import { AnsweringMinion } from '../support/answering-minion.js';

const FIRST = 'vm|vm#1|1';

const SECOND = 'vm|vm#2|2';

/** The lease of the minion, and some time to detect its end. */
const LEASE_AND_MARGIN_MILLISECONDS = 2000;

// Guards against two runs of a task while the path to its minion is cut.
t.test('refused connections do not end a minion with a lease', async t => {
  const minion = new AnsweringMinion(t);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.answers = { 'vm#1': 'refused' };
  await pause(800);
  t.same(minion.report?.gone, []);
  t.ok(minion.driver.isCurrent(FIRST));
  t.equal(minion.report?.minion?.silent, true, 'it gets no starts');
  minion.answers = {};
  await pause(300);
  t.equal(minion.report?.minion?.silent, undefined);
  t.equal(minion.report?.minion?.incarnation, FIRST);
  minion.answers = { 'vm#1': 'refused' };
  await pause(LEASE_AND_MARGIN_MILLISECONDS);
  t.same(minion.report?.gone, [FIRST], 'its last lease is over');
});

t.test('a lost minion is given up also under a later leader', async t => {
  const minion = new AnsweringMinion(t);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.answers = { 'vm#1': 'refused' };
  await pause(200);
  minion.welcome(2);
  await pause(LEASE_AND_MARGIN_MILLISECONDS);
  t.equal(minion.report?.fencingToken, 2);
  t.same(minion.report?.gone, [FIRST]);
});

// Guards against two runs of a task after a heartbeat of another writer.
t.test('a heartbeat of a minion that is not there changes nothing', async t => {
  const minion = new AnsweringMinion(t);
  minion.answers = { 'vm#2': 'another-incarnation' };
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.driver.updateMinion(minion.incarnation(2));
  await pause(300);
  t.equal(minion.report?.minion?.incarnation, FIRST);
  t.same(minion.report?.gone, []);
});

t.test('another minion that answers takes the place at once', async t => {
  const minion = new AnsweringMinion(t);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.answers = { 'vm#1': 'refused', 'vm#2': 'refused' };
  minion.driver.updateMinion(minion.incarnation(2));
  await pause(300);
  t.ok(minion.driver.isCurrent(FIRST), 'none of the two answers');
  minion.answers = { 'vm#1': 'another-incarnation' };
  await pause(500);
  t.equal(minion.report?.minion?.incarnation, SECOND);
  t.same(minion.report?.gone, [FIRST]);
});

// Guards against two runs of a task after a late departure, as the path is cut.
t.test('a minion that still sends heartbeats has not left', async t => {
  const minion = new AnsweringMinion(t);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.driver.expectDeparture();
  await pause(200);
  minion.driver.updateMinion(minion.incarnation(1));
  minion.answers = { 'vm#1': 'refused' };
  await pause(500);
  t.same(minion.report?.gone, []);
  t.ok(minion.driver.isCurrent(FIRST));
  await pause(LEASE_AND_MARGIN_MILLISECONDS);
  t.same(minion.report?.gone, [FIRST], 'its last lease is over');
});

// Guards against two runs of a task after a departure that arrives late.
t.test('a minion has left only if it does not answer any more', async t => {
  const minion = new AnsweringMinion(t);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(200);
  minion.driver.expectDeparture();
  t.equal(minion.report?.minion?.draining, true);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(300);
  t.equal(minion.report?.minion?.draining, true, 'it gets no starts');
  t.same(minion.report?.gone, []);
  await pause(1700);
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(100);
  t.equal(minion.report?.minion?.draining, false, 'it has not left');
  minion.answers = { 'vm#1': 'refused' };
  minion.driver.expectDeparture();
  await pause(300);
  t.same(minion.report?.gone, [FIRST]);
  t.equal(minion.report?.minion, null);
});

// Guards against tasks that run again though they are done.
t.test('a revoked start may stand beyond the listed ends', async t => {
  const minion = new AnsweringMinion(t);
  minion.answers = { 'vm#1': 'more-ends' };
  minion.driver.updateMinion(minion.incarnation(1));
  await pause(100);
  const traits = {
    image: '',
    tailTargetMilliseconds: 0,
    filling: false,
    processorMillicores: 100,
  };
  const order = { task: 'j.0.0.0', run: 1, payload: '', checkpoint: '' };
  minion.driver.handleMessage({
    kind: 'starts',
    incarnation: FIRST,
    starts: [{ ...order, traits }],
  });
  await pause(400);
  t.equal(minion.report?.hasMoreEnds, true);
  t.same(minion.report?.refusals, [], 'its end may follow');
  minion.answers = {};
  await pause(200);
  t.equal(minion.report?.refusals.length, 1);
  t.equal(minion.report?.hasMoreEnds, undefined);
});
