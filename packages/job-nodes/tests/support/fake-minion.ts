import type { EndReason } from '@basilcourse/jobs/model/end-reason';

import type { MinionClient } from '../../src/agent/minion-client.js';
import type { MinionIncarnation } from '../../src/agent/minion-incarnation.js';
import { WrongMinionError } from '../../src/agent/wrong-minion-error.js';
import { pause } from '../../src/time/pause.js';
import { FakeLife } from './fake-life.js';
import type { FakeMinionFaults } from './fake-minion-faults.js';
import { FakePath } from './fake-path.js';
import type { FakeRun } from './fake-run.js';
import { listRun } from './list-run.js';
import { makeMinion } from './make-minion.js';
import type { ObservedRun } from './observed-run.js';
import type { RunChecker } from './run-checker.js';

const STOP_DELAY_MILLISECONDS = 40;

const CHECK_INTERVAL_MILLISECONDS = 15;

/** The clock of the first life shows that it is old; those of others begin anew. */
const FIRST_AGE_MILLISECONDS = 100_000;

/**
 * In-memory minion that fences orders, expires leases and lists ended runs. A call
 * names the identifier only, so any life under that identifier carries it out.
 */
export class FakeMinion implements MinionClient {
  public self: MinionIncarnation;

  /** A poll lists no more ends than this. */
  public maximumEndsListed = 500;

  private readonly name: string;

  private readonly capacity: number;

  private readonly runChecker: RunChecker;

  private readonly faults: FakeMinionFaults;

  private life = new FakeLife(FIRST_AGE_MILLISECONDS);

  /** Time on the clock of the present life. */
  public get clock(): number {
    return this.life.lease.clock;
  }

  /** The path from the agent. */
  public readonly path = new FakePath();

  private restarts = 0;

  /** Runs that have begun since the minion last started again. */
  public startsOfNextLife = 0;

  public constructor(
    name: string,
    runChecker: RunChecker,
    faults: FakeMinionFaults,
    capacity: number,
  ) {
    this.name = name;
    this.runChecker = runChecker;
    this.faults = faults;
    this.capacity = capacity;
    this.self = makeMinion(name, 0, capacity);
    setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MILLISECONDS).unref();
  }

  /** Ends this incarnation, and begins another one under another identifier. */
  public crash(): void {
    this.beginLife(`${this.name}#${this.restarts + 1}`);
  }

  /** Ends this incarnation, and begins another one under the same identifier. */
  public restartUnderSameIdentifier(): void {
    this.beginLife(this.self.identifier);
  }

  /** Carries out a call that was meant for an earlier life, with a lease. */
  public extendLeaseByLateCall(): void {
    this.life.lease.extend(Number.MAX_SAFE_INTEGER);
  }

  private beginLife(identifier: string): void {
    for (const run of this.life.runs.values()) {
      this.runChecker.recordEnd(this.runOf(run), false);
    }
    this.life = new FakeLife(0);
    this.restarts += 1;
    this.self = makeMinion(this.name, this.restarts, this.capacity, identifier);
  }

  public start: MinionClient['start'] = async (
    minion,
    order,
    expiresAt,
    token,
  ) => {
    const { random, lateStartShare } = this.faults;
    if (random.next() < lateStartShare()) {
      void pause(200 + random.next() * 1500).then(() => {
        this.begin(minion, order, expiresAt, token);
      });
      return this.path.leaveUnanswered();
    }
    await this.receive(minion);
    return this.begin(minion, order, expiresAt, token);
  };

  public stop: MinionClient['stop'] = async (minion, { task, run }, token) => {
    await this.receive(minion);
    this.life.fence.check('minion.stop', token);
    this.life.raiseHighestRun(task, run);
    this.runChecker.record(this.runOf({ task, run }), `is stopped by ${token}`);
    if (this.life.runs.get(task)?.run === run) {
      await pause(STOP_DELAY_MILLISECONDS);
      this.end(task, run, 'stopped');
    }
  };

  public poll: MinionClient['poll'] = async (minion, poll) => {
    await this.receive(minion);
    const life = this.restarts;
    this.life.fence.check('minion.look', poll.fencingToken);
    this.check();
    this.acknowledge(poll.endsThrough, poll.fencingToken);
    if (poll.expiresAt !== undefined) {
      this.extendLease(poll.expiresAt);
    }
    const until = performance.now() + poll.waitMilliseconds;
    while (this.life.ends.listed.length === 0 && performance.now() < until) {
      await pause(5);
    }
    if (this.restarts !== life || this.path.isCut) {
      return this.path.leaveUnanswered();
    }
    if (minion.description.incarnation !== this.self.description.incarnation) {
      throw new WrongMinionError('minion.look', this.self.identifier);
    }
    return {
      clock: this.clock,
      running: [...this.life.runs.values()].map(listRun),
      ends: this.life.ends.listed.slice(0, this.maximumEndsListed),
      hasMoreEnds: this.life.ends.listed.length >= this.maximumEndsListed,
    };
  };

  public throttle: MinionClient['throttle'] = async () => {
    await pause(1);
  };

  private begin(
    peer: MinionIncarnation,
    { task, run }: { readonly task: string; readonly run: number },
    expiresAt: number,
    token: number,
  ): Awaited<ReturnType<MinionClient['start']>> {
    const isForThis = peer.identifier === this.self.identifier;
    if (!isForThis || !this.life.fence.accepts(token)) {
      return { kind: 'refused', reason: 'fence' };
    }
    if (this.life.runs.get(task)?.run === run) {
      return { kind: 'started' };
    }
    if (run <= (this.life.highestRuns.get(task) ?? 0)) {
      return { kind: 'refused', reason: 'old' };
    }
    if (expiresAt <= this.life.lease.clock) {
      return { kind: 'refused', reason: 'late' };
    }
    this.extendLease(expiresAt);
    this.life.raiseHighestRun(task, run);
    const endsAt = performance.now() + this.faults.workMilliseconds();
    const startedAt = performance.now();
    this.life.runs.set(task, { task, run, startedAt, endsAt });
    this.startsOfNextLife += Number(this.restarts > 0);
    const observed = this.runOf({ task, run });
    const leaseLeft = Math.round(this.life.lease.remaining);
    this.runChecker.record(observed, `by ${token}, lease for ${leaseLeft}`);
    this.runChecker.recordStart(observed);
    return { kind: 'started' };
  }

  private extendLease(expiresAt: number): void {
    this.check();
    this.life.lease.extend(expiresAt);
  }

  /** Marks the present ends as not final if the lease has expired. */
  private markLapsed(): void {
    if (this.life.lease.remaining <= 0) {
      this.life.ends.markLapsed();
    }
  }

  private acknowledge(endsThrough: number, token: number): void {
    const { ends } = this.life;
    for (const end of ends.acknowledge(endsThrough)) {
      const { task, run, reason } = end;
      const text = `stored by ${token}, final: ${ends.isFinal(end)}`;
      this.runChecker.record(this.runOf({ task, run }), text);
      if (reason === 'done' && ends.isFinal(end)) {
        this.runChecker.acknowledgedTasks.add(task);
      }
    }
  }

  /** Ends the runs that are due, also if this comes late. */
  private check(): void {
    const now = performance.now();
    this.markLapsed();
    for (const { task, run, endsAt } of [...this.life.runs.values()]) {
      if (now >= endsAt && endsAt < this.life.lease.endsAt) {
        this.end(
          task,
          run,
          this.faults.random.next() < 0.05 ? 'failed' : 'done',
        );
      } else if (this.life.lease.remaining <= 0) {
        this.end(task, run, 'lapsed');
      }
    }
    this.markLapsed();
  }

  private end(task: string, run: number, reason: EndReason): void {
    const current = this.life.runs.get(task);
    if (current?.run !== run) {
      return;
    }
    this.life.runs.delete(task);
    this.runChecker.recordEnd(this.runOf(current), reason === 'done');
    this.life.ends.add(task, run, reason);
  }

  private runOf({ task, run }: Pick<FakeRun, 'task' | 'run'>): ObservedRun {
    return { task, run, minion: this.self.identifier };
  }

  /** Waits until a call has arrived; rejects it if it names another minion. */
  private async receive(minion: MinionIncarnation): Promise<void> {
    await this.path.carry();
    if (minion.identifier !== this.self.identifier) {
      throw new WrongMinionError('minion.call', this.self.identifier);
    }
  }
}
