import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import type { EndReason } from '@basilcourse/jobs/model/end-reason';
import type { RunEnd } from '@basilcourse/jobs/model/run-end';

import { FencedError } from '../../src/agent/fenced-error.js';
import type { MinionClient } from '../../src/agent/minion-client.js';
import type { MinionLife } from '../../src/agent/minion-life.js';
import { WrongMinionError } from '../../src/agent/wrong-minion-error.js';
import { pause } from '../../src/time/pause.js';
import type { FakeMinionFaults } from './fake-minion-faults.js';
import { makeLife } from './make-life.js';
import type { ObservedRun } from './observed-run.js';
import type { RunChecker } from './run-checker.js';

const STOP_MILLISECONDS = 40;

const ANSWER_TIMEOUT_MILLISECONDS = 60;

const CHECK_MILLISECONDS = 15;

interface Run {
  readonly task: string;
  readonly run: number;
  readonly endsAt: number;
}

/** A minion as its agent calls it: fenced, leased, with listed ends. */
export class FakeMinion implements MinionClient {
  public life: MinionLife;

  private readonly witness: RunChecker;

  private readonly faults: FakeMinionFaults;

  private fencingToken = 0;

  private leaseUntil = Number.POSITIVE_INFINITY;

  private readonly runs = new Map<string, Run>();

  private readonly highestRuns = new Map<string, number>();

  private ends: RunEnd[] = [];

  private readonly lapsedEnds = new Set<number>();

  private nextEnd = 1;

  private births = 0;

  public constructor(
    name: string,
    witness: RunChecker,
    faults: FakeMinionFaults,
    capacity: number,
  ) {
    this.witness = witness;
    this.faults = faults;
    this.life = makeLife(name, 0, capacity);
    setInterval(() => {
      this.check();
    }, CHECK_MILLISECONDS).unref();
  }

  /** Ends this life with all that runs, and begins another. */
  public crash(): void {
    for (const run of this.runs.values()) {
      this.witness.recordEnd(this.seen(run), false);
    }
    this.runs.clear();
    this.highestRuns.clear();
    this.ends = [];
    this.nextEnd = 1;
    this.lapsedEnds.clear();
    this.fencingToken = 0;
    this.births += 1;
    const { capacity } = this.life.description;
    const [name = ''] = this.life.identifier.split('#');
    this.life = makeLife(name, this.births, capacity.processorMillicores);
  }

  public start: MinionClient['start'] = async (
    life,
    order,
    expiresAt,
    token,
  ) => {
    const { random, lateShare } = this.faults;
    if (random.next() < lateShare()) {
      void pause(200 + random.next() * 1500).then(() => {
        this.begin(life, order, expiresAt, token);
      });
      await pause(ANSWER_TIMEOUT_MILLISECONDS);
      throw new PeerUnreachableError('minion.start', 'fake', 'no answer');
    }
    await pause(1);
    this.checkLife(life);
    return this.begin(life, order, expiresAt, token);
  };

  public stop: MinionClient['stop'] = async (life, { task, run }, token) => {
    await pause(1);
    this.checkLife(life);
    this.checkToken('minion.stop', token);
    this.raiseRun(task, run);
    this.witness.record(this.seen({ task, run }), `is stopped by ${token}`);
    if (this.runs.get(task)?.run === run) {
      await pause(STOP_MILLISECONDS);
      this.end(task, run, 'stopped');
    }
  };

  public look: MinionClient['look'] = async (life, look) => {
    await pause(1);
    this.checkLife(life);
    this.checkToken('minion.look', look.fencingToken);
    this.markLapsed();
    for (const end of this.ends) {
      if (end.number <= look.endsThrough) {
        this.noteEnd(end, look.fencingToken);
      }
    }
    this.ends = this.ends.filter(({ number }) => number > look.endsThrough);
    if (look.expiresAt !== undefined) {
      this.extendLease(look.expiresAt);
    }
    const until = performance.now() + look.waitMilliseconds;
    while (this.ends.length === 0 && performance.now() < until) {
      await pause(5);
      this.checkLife(life);
    }
    return {
      clock: performance.now(),
      running: [...this.runs.values()].map(({ task, run, endsAt }) => ({
        task,
        run,
        checkpoint: '',
        percent: Math.round(
          Math.max(0, 100 - (endsAt - performance.now()) / 10),
        ),
        gauge: 0,
      })),
      ends: this.ends.slice(),
    };
  };

  public pace: MinionClient['pace'] = async () => {
    await pause(1);
  };

  private begin(
    life: MinionLife,
    { task, run }: { readonly task: string; readonly run: number },
    expiresAt: number,
    token: number,
  ): Awaited<ReturnType<MinionClient['start']>> {
    if (life.identifier !== this.life.identifier || token < this.fencingToken) {
      return { kind: 'refused', reason: 'fence' };
    }
    this.fencingToken = token;
    if (this.runs.get(task)?.run === run) {
      return { kind: 'started' };
    }
    if (run <= (this.highestRuns.get(task) ?? 0)) {
      return { kind: 'refused', reason: 'old' };
    }
    if (expiresAt <= performance.now()) {
      return { kind: 'refused', reason: 'late' };
    }
    this.extendLease(expiresAt);
    this.raiseRun(task, run);
    const endsAt = performance.now() + this.faults.workMilliseconds();
    this.runs.set(task, { task, run, endsAt });
    const seen = this.seen({ task, run });
    const left = Math.round(this.leaseUntil - performance.now());
    this.witness.record(seen, `by ${token}, lease for ${left}`);
    this.witness.recordStart(seen);
    return { kind: 'started' };
  }

  private extendLease(expiresAt: number): void {
    this.markLapsed();
    const before = Number.isFinite(this.leaseUntil) ? this.leaseUntil : 0;
    this.leaseUntil = Math.max(before, expiresAt);
  }

  /** Ends that are listed while the lease lapses do not stand. */
  private markLapsed(): void {
    if (performance.now() >= this.leaseUntil) {
      this.ends.forEach(({ number }) => this.lapsedEnds.add(number));
    }
  }

  private noteEnd({ number, task, run, reason }: RunEnd, token: number): void {
    const stands = !this.lapsedEnds.has(number);
    const seen = this.seen({ task, run });
    this.witness.record(seen, `is noted by ${token}, stands: ${stands}`);
    if (reason === 'done' && stands) {
      this.witness.recordedDone.add(task);
    }
  }

  private check(): void {
    const now = performance.now();
    this.markLapsed();
    for (const { task, run, endsAt } of [...this.runs.values()]) {
      if (now >= endsAt) {
        this.end(
          task,
          run,
          this.faults.random.next() < 0.05 ? 'failed' : 'done',
        );
      } else if (now >= this.leaseUntil) {
        this.end(task, run, 'lapsed');
      }
    }
  }

  private end(task: string, run: number, reason: EndReason): void {
    const known = this.runs.get(task);
    if (known?.run !== run) {
      return;
    }
    this.runs.delete(task);
    this.witness.recordEnd(this.seen(known), reason === 'done');
    this.ends.push({ number: this.nextEnd, task, run, reason, checkpoint: '' });
    this.nextEnd += 1;
  }

  private seen({ task, run }: Omit<Run, 'endsAt'>): ObservedRun {
    return { task, run, minion: this.life.identifier };
  }

  private raiseRun(task: string, run: number): void {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
  }

  private checkLife(life: MinionLife): void {
    if (life.identifier !== this.life.identifier) {
      throw new WrongMinionError('minion.call', this.life.identifier);
    }
  }

  private checkToken(step: string, token: number): void {
    if (token < this.fencingToken) {
      throw new FencedError(step, this.life.identifier);
    }
    this.fencingToken = token;
  }
}
