import type { MinionEvent } from './minion-event.js';
import type { RunOrder } from './run-order.js';

interface LiveRun extends RunOrder {
  readonly startedAt: number;
  readonly resumedAt: number;
}

interface ListedEnd {
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly reason: string;
  readonly checkpoint: string;
}

const MAXIMUM_ENDS_LISTED = 500;

const CHECKPOINT_MILLISECONDS = 1000;

const LONGEST_LEASE_MILLISECONDS = 10_000;

const FULL_PERCENT = 100;

const CHECKPOINT_DIGITS = 16;

/**
 * One life of a minion: its runs, their ends, its lease. It starts whatever it is
 * told to. All times are milliseconds since the life began.
 */
export class MinionLife {
  public readonly identifier: string;

  /** Unix milliseconds at which the life began. */
  public readonly born: number;

  private readonly name: string;

  private readonly onEvent: (event: MinionEvent) => void;

  private readonly runs = new Map<string, LiveRun>();

  private readonly highestEnded = new Map<string, number>();

  private ends: readonly ListedEnd[] = [];

  private endCount = 0;

  private leaseUntil = 0;

  /** Ends up to this number were listed as the lease expired last. */
  private lapsedThrough = 0;

  private token = 0;

  public constructor(
    name: string,
    identifier: string,
    born: number,
    onEvent: (event: MinionEvent) => void,
  ) {
    this.name = name;
    this.identifier = identifier;
    this.born = born;
    this.onEvent = onEvent;
  }

  /** Returns whether a fencing token is at least as high as those before. */
  public acceptsToken(token: number): boolean {
    if (token < this.token) {
      return false;
    }
    this.token = token;
    return true;
  }

  /** Number of ends that are listed. */
  public get endsListed(): number {
    return this.ends.length;
  }

  /** Starts a run; returns the reason of a refusal, or undefined. */
  public start(
    order: RunOrder,
    expiresAt: number,
    now: number,
  ): 'late' | 'old' | undefined {
    if (expiresAt <= now) {
      return 'late';
    }
    this.extendLease(expiresAt, now);
    const { task, run } = order;
    const current = this.runs.get(task);
    if (current?.run === run) {
      return undefined;
    }
    if (current !== undefined || run <= (this.highestEnded.get(task) ?? 0)) {
      return 'old';
    }
    const resumedAt =
      order.checkpoint === '' ? 0 : parseInt(order.checkpoint, 16);
    this.runs.set(task, { ...order, startedAt: now, resumedAt });
    this.report('started', task, run, '');
    return undefined;
  }

  /** Ends a run up to the given number, and lets no such one start. */
  public stop(task: string, run: number, now: number): void {
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(highest, run));
    const current = this.runs.get(task);
    if (current !== undefined && current.run <= run) {
      this.end(current, 'stopped', now);
    }
  }

  /** Prolongs the lease; it never gets shorter. */
  public extendLease(expiresAt: number, now: number): void {
    const latest = now + LONGEST_LEASE_MILLISECONDS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(expiresAt, latest));
  }

  /** Forgets ends that are stored elsewhere. */
  public acknowledge(endsThrough: number): void {
    for (const { number, task, run, reason } of this.ends) {
      if (number <= endsThrough) {
        const kind =
          number <= this.lapsedThrough ? 'forgotten' : 'acknowledged';
        this.report(kind, task, run, reason);
      }
    }
    this.ends = this.ends.filter(({ number }) => number > endsThrough);
  }

  /** Returns both lists, as rows of the protocol. */
  public lists(now: number): {
    readonly running: readonly (readonly (string | number)[])[];
    readonly finished: readonly (readonly (string | number)[])[];
  } {
    return {
      running: [...this.runs.values()].map(run => [
        run.task,
        run.run,
        checkpointOf(run, now),
        percentOf(run, now),
        10,
      ]),
      finished: this.ends
        .slice(0, MAXIMUM_ENDS_LISTED)
        .map(({ number, task, run, reason, checkpoint }) => [
          number,
          task,
          run,
          reason,
          checkpoint,
        ]),
    };
  }

  /** Ends runs whose work is done, and all once the lease is over. */
  public advance(now: number): void {
    const isLapsed = now > this.leaseUntil;
    for (const run of [...this.runs.values()]) {
      if (isLapsed) {
        this.end(run, 'lapsed', now);
      } else if (progressOf(run, now) >= workOf(run)) {
        this.end(run, 'done', now);
      }
    }
    if (isLapsed) {
      this.lapsedThrough = this.endCount;
    }
  }

  /** Ends the life: what runs is lost, and nobody is told. */
  public crash(): void {
    for (const { task, run } of this.runs.values()) {
      this.report('lost', task, run, 'lost');
    }
    this.runs.clear();
  }

  private end(ended: LiveRun, reason: string, now: number): void {
    const { task, run } = ended;
    const checkpoint = checkpointOf(ended, now);
    this.runs.delete(task);
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(highest, run));
    this.endCount += 1;
    const number = this.endCount;
    this.ends = [...this.ends, { number, task, run, reason, checkpoint }];
    this.report('ended', task, run, reason);
  }

  private report(
    kind: MinionEvent['kind'],
    task: string,
    run: number,
    reason: string,
  ): void {
    this.onEvent({ kind, minion: this.name, task, run, reason });
  }
}

function workOf({ payload }: LiveRun): number {
  const work = /work_ms=(\d+)/.exec(payload)?.[1];
  return work === undefined ? Number.POSITIVE_INFINITY : Number(work);
}

function progressOf({ startedAt, resumedAt }: LiveRun, now: number): number {
  return now - startedAt + resumedAt;
}

function percentOf(run: LiveRun, now: number): number {
  const work = workOf(run);
  return work === Number.POSITIVE_INFINITY
    ? FULL_PERCENT
    : Math.min(99, (FULL_PERCENT * progressOf(run, now)) / work);
}

function checkpointOf(run: LiveRun, now: number): string {
  const worked = run.payload.includes('saves') ? progressOf(run, now) : 0;
  const saved =
    Math.floor(worked / CHECKPOINT_MILLISECONDS) * CHECKPOINT_MILLISECONDS;
  return saved === 0 ? '' : saved.toString(16).padStart(CHECKPOINT_DIGITS, '0');
}
