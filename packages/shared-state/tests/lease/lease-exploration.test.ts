import type { Test } from 'tap';
import t from 'tap';

import { StateFold } from '../../src/fold/state-fold.js';
import type { StoredRecord } from '../../src/log/stored-record.js';

// Guards against two processes that decide for one cell in the same epoch. This
// could happen when candidates claim the lease after outdated reads, when a
// former holder continues to decide, or when an append whose answer was lost is
// repeated.

/** One step of a holder; the steps of all holders are interleaved. */
type Step = 'read' | 'claim' | 'decide' | 'repeat';

interface Holder {
  readonly name: string;
  readonly fold: StateFold;
  /** Epoch in which the holder believes it has the lease; 0 for none. */
  readonly epoch: number;
  /** Record that the holder appended last; undefined before the first. */
  readonly lastSent: StoredRecord['envelope'] | undefined;
}

const CELL = 'here/0';

const TASK = 'job/reconcile@1';

const steps: readonly Step[] = ['read', 'claim', 'decide', 'repeat'];

const NOTE = `[note]
name = first
operator = tester
based-on = 0
[team docks]
processors = 64
memory-gigabytes = 256
[job reconcile]
team = docks
task-kind = reconcile
processors = 1
memory-gigabytes = 1
`;

function envelope(
  id: string,
  kind: string,
  writer: string,
  body: unknown,
): StoredRecord['envelope'] {
  return { id, kind, version: 1, writer, writtenAt: 0, body };
}

function initialRecords(): readonly StoredRecord['envelope'][] {
  const resources = { processors: 4, memoryGigabytes: 8, accelerators: 0 };
  const location = {
    address: '127.0.0.1:1',
    region: 'here',
    availabilityZone: 'here-1',
    rack: 'r',
  };
  const join = ['worker-1', 'worker-2'].map(worker => ({
    type: 'worker-join',
    description: { worker, ...location, resources },
  }));
  return [
    envelope('note', 'release-note', 'operator', {
      operator: 'tester',
      text: NOTE,
    }),
    envelope('claim-0', 'lease-claim', 'founder', {
      cell: CELL,
      holder: 'founder',
      previousEpoch: 0,
      previousRenewals: 0,
    }),
    envelope('join', 'decisions', 'founder', {
      cell: CELL,
      epoch: 1,
      decisions: join,
    }),
  ];
}

function foldOf(log: readonly StoredRecord['envelope'][]): StateFold {
  const fold = new StateFold();
  log.forEach((record, offset) => fold.apply({ offset, envelope: record }));
  return fold;
}

function claimOf(holder: Holder, id: string): StoredRecord['envelope'] {
  const cell = holder.fold.scheduling.cells.get(CELL);
  return envelope(id, 'lease-claim', holder.name, {
    cell: CELL,
    holder: holder.name,
    previousEpoch: cell?.epoch ?? 0,
    previousRenewals: cell?.renewals ?? 0,
  });
}

/**
 * Places the task, or ends its active attempt, according to the holder's fold.
 */
function decisionOf(holder: Holder, id: string): StoredRecord['envelope'] {
  const progress = holder.fold.scheduling.tasks.get(TASK);
  const active = progress?.active ?? '';
  const decision =
    active === ''
      ? {
          type: 'place',
          task: TASK,
          attempt: (progress?.attempts ?? 0) + 1,
          worker: holder.name === 'left' ? 'worker-1' : 'worker-2',
          resources: { processors: 1, memoryGigabytes: 1, accelerators: 0 },
          reason: '',
        }
      : {
          type: 'end',
          attemptId: active,
          outcome: 'evicted',
          checkpoint: '',
          reason: '',
        };
  return envelope(id, 'decisions', holder.name, {
    cell: CELL,
    epoch: holder.epoch,
    decisions: [decision],
  });
}

interface SystemState {
  readonly log: readonly StoredRecord['envelope'][];
  readonly holders: readonly Holder[];
}

function applyStep(
  state: SystemState,
  index: number,
  step: Step,
): SystemState | undefined {
  const holder = state.holders[index];
  if (holder === undefined) {
    return undefined;
  }
  const id = `${holder.name}-${state.log.length}`;
  const replace = (changed: Holder, log = state.log): SystemState => ({
    log,
    holders: state.holders.map((other, at) => (at === index ? changed : other)),
  });
  if (step === 'read') {
    const fold = foldOf(state.log);
    const cell = fold.scheduling.cells.get(CELL);
    const epoch = cell?.holder === holder.name ? cell.epoch : holder.epoch;
    return replace({ ...holder, fold, epoch });
  }
  if (step === 'repeat') {
    // The answer to the last append was lost, so the append is sent again.
    return holder.lastSent === undefined
      ? undefined
      : replace(holder, [...state.log, holder.lastSent]);
  }
  if (step === 'decide' && holder.epoch === 0) {
    return undefined;
  }
  const record =
    step === 'claim' ? claimOf(holder, id) : decisionOf(holder, id);
  return replace({ ...holder, lastSent: record }, [...state.log, record]);
}

function findViolation(log: readonly StoredRecord['envelope'][]): string {
  const fold = new StateFold();
  const holderByEpoch = new Map<number, string>();
  for (const [offset, record] of log.entries()) {
    const before = fold.scheduling.cells.get(CELL);
    const outcome = fold.apply({ offset, envelope: record });
    const cell = fold.scheduling.cells.get(CELL);
    if (record.kind === 'decisions' && outcome?.applied === true) {
      if (before?.holder !== record.writer) {
        return `${record.id} took effect though ${before?.holder ?? 'nobody'} held the lease`;
      }
    }
    if (record.kind === 'lease-claim' && outcome?.applied === true) {
      const { previousEpoch } = record.body as {
        readonly previousEpoch: number;
      };
      if (previousEpoch !== (before?.epoch ?? 0)) {
        return `${record.id} took effect on an epoch that it had not read`;
      }
    }
    if (cell !== undefined) {
      const recordedHolder = holderByEpoch.get(cell.epoch) ?? cell.holder;
      holderByEpoch.set(cell.epoch, recordedHolder);
      if (cell.holder !== recordedHolder) {
        return `epoch ${cell.epoch} had two holders`;
      }
    }
    if (fold.scheduling.attempts.size > 1) {
      return 'two attempts of one task are active';
    }
  }
  return '';
}

/** Explores all interleavings to a depth; returns the count of final states. */
function explore(state: SystemState, depth: number, t: Test): number {
  if (depth === 0) {
    const reason = findViolation(state.log);
    if (reason !== '') {
      t.fail(`${reason}: ${state.log.map(({ id }) => id).join(' ')}`);
    }
    return 1;
  }
  let explored = 0;
  for (const index of state.holders.keys()) {
    for (const step of steps) {
      const next = applyStep(state, index, step);
      if (next !== undefined) {
        explored += explore(next, depth - 1, t);
      }
    }
  }
  return explored;
}

function initialState(names: readonly string[]): SystemState {
  const log = initialRecords();
  const holders = names.map(name => ({
    name,
    fold: foldOf(log),
    epoch: 0,
    lastSent: undefined,
  }));
  return { log, holders };
}

t.test('two holders: every interleaving of six steps', t => {
  const explored = explore(initialState(['left', 'right']), 6, t);
  t.ok(explored > 5_000, `${explored} final states were reached`);
  t.end();
});

t.test('three holders: every interleaving of four steps', t => {
  const explored = explore(initialState(['left', 'right', 'third']), 4, t);
  t.ok(explored > 1_000, `${explored} final states were reached`);
  t.end();
});
