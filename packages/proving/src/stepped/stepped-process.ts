import { describeDecision } from '@basilcourse/daemon/node/describe-decision';
import { CellScheduler } from '@basilcourse/daemon/scheduling/cell-scheduler';
import { LeaseManager } from '@basilcourse/daemon/scheduling/lease-manager';
import type { Clock } from '@basilcourse/foundation/clock/clock';
import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { EventRing } from '@basilcourse/foundation/events/event-ring';
import { SequentialIdentifiers } from '@basilcourse/foundation/identifiers/sequential-identifiers';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import type { ScorerName } from '@basilcourse/scheduler/placement/scorers';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import { followStore } from '@basilcourse/shared-state/follow/follow-store';
import { RecordAppender } from '@basilcourse/shared-state/follow/record-appender';
import { SharedState } from '@basilcourse/shared-state/follow/shared-state';
import { StoreHealth } from '@basilcourse/shared-state/follow/store-health';
import type { PlatformLog } from '@basilcourse/shared-state/log/platform-log';
import type { Decision } from '@basilcourse/shared-state/records/decision';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';

import type { SteppedClock } from './stepped-clock.js';
import { effectClockOf } from './stepped-clock.js';

const POLL_MILLISECONDS = 200;

const RING_EVENTS = 20_000;

/** What a process is made of and what it sees of the outside. */
interface ProcessParts {
  readonly name: string;
  readonly rank: number;
  readonly seed: number;
  readonly clock: SteppedClock;
  /** Difference of this process's clock from the others. */
  readonly clockErrorMilliseconds: number;
  readonly cell: string;
  readonly log: PlatformLog;
  readonly workerAt: (address: string) => PlatformWorker;
  readonly announced: () => readonly WorkerDescription[];
  readonly placement: ScorerName;
  readonly throttlesStarts: boolean;
}

/** The real holder of a cell with fakes at its interfaces, on a test clock. */
export class SteppedProcess {
  public readonly state = new SharedState();

  public readonly events: EventRing;

  public readonly holder: CellScheduler;

  public readonly lease: LeaseManager;

  public readonly appender: RecordAppender;

  private readonly ownClock: Clock;

  private fiber: Fiber.RuntimeFiber<never> | undefined;

  private paused = false;

  private cutOff = false;

  private cutWorkers: ReadonlySet<string> = new Set();

  private readonly resumeListeners: (() => void)[] = [];

  private readonly followed: Effect.Effect<never>;

  public constructor(private readonly parts: ProcessParts) {
    const { clock, clockErrorMilliseconds, name, cell, seed } = parts;
    this.ownClock = { now: () => clock.now() + clockErrorMilliseconds };
    this.events = new EventRing(name, this.ownClock, RING_EVENTS);
    this.state.onOutcome(outcome => {
      if (outcome.record.envelope.writer === name) {
        outcome.decisions.forEach(decision => {
          this.noteDecision(decision);
        });
      }
    });
    const random = seededRandom(seed);
    const health = new StoreHealth(this.events);
    const identifiers = new SequentialIdentifiers();
    const named = {
      next: (prefix: string) => identifiers.next(`${name}-${prefix}`),
    };
    const common = {
      state: this.state,
      clock: this.ownClock,
      events: this.events,
    };
    const log = this.guardedLog();
    this.appender = new RecordAppender({
      ...common,
      log,
      health,
      random,
      writer: name,
    });
    this.lease = new LeaseManager({
      ...common,
      cell,
      instance: name,
      appender: this.appender,
      identifiers: named,
      rank: () => parts.rank,
    });
    this.holder = new CellScheduler({
      ...common,
      cell,
      lease: this.lease,
      appender: this.appender,
      identifiers: named,
      announced: parts.announced,
      workerAt: address => this.guardedWorker(address),
      storeReachable: () => health.reachable,
      placement: parts.placement,
      throttlesAtStart: parts.throttlesStarts,
    });
    this.followed = followStore({
      ...common,
      log,
      health,
      random,
      pollMilliseconds: POLL_MILLISECONDS,
      enabled: () => true,
    });
  }

  public get name(): string {
    return this.parts.name;
  }

  public get isAlive(): boolean {
    return this.fiber !== undefined;
  }

  public start(): void {
    const clock = effectClockOf(
      this.parts.clock,
      () => this.paused,
      resume => this.resumeListeners.push(resume),
    );
    const work = Effect.raceAll([
      this.followed,
      this.lease.run(),
      this.holder.run(),
    ]);
    this.fiber = Effect.runFork(work.pipe(Effect.withClock(clock)));
  }

  public async kill(): Promise<void> {
    const { fiber } = this;
    this.fiber = undefined;
    this.resume();
    if (fiber !== undefined) {
      await Effect.runPromise(Fiber.interrupt(fiber));
    }
  }

  /** Freezes the process: nothing goes on, answers wait. */
  public pause(): void {
    this.paused = true;
  }

  public resume(): void {
    this.paused = false;
    for (const listener of this.resumeListeners.splice(0)) {
      listener();
    }
  }

  /** Cuts the process off from the log, or lets it back. */
  public setCutOff(cutOff: boolean): void {
    this.cutOff = cutOff;
  }

  /** Cuts the process off from some workers. */
  public setCutWorkers(addresses: ReadonlySet<string>): void {
    this.cutWorkers = addresses;
  }

  private noteDecision(decision: Decision): void {
    const described = describeDecision(decision);
    if (described !== undefined) {
      this.events.record(described.kind, described.text, described.subject);
    }
  }

  private async whileRunning<Answer>(
    call: () => Promise<Answer>,
  ): Promise<Answer> {
    await this.whenRunning();
    try {
      return await call();
    } finally {
      await this.whenRunning();
    }
  }

  private async whenRunning(): Promise<void> {
    while (this.paused) {
      await new Promise<void>(resolve => this.resumeListeners.push(resolve));
    }
  }

  private guardedLog(): PlatformLog {
    const { log } = this.parts;
    const refuseWhenCut = (step: string): void => {
      if (this.cutOff) {
        throw new PeerUnreachableError(step, 'log', 'cut off');
      }
    };
    return {
      append: envelope =>
        this.whileRunning(() => {
          refuseWhenCut('log.append');
          return log.append(envelope);
        }),
      read: (from, maximum) =>
        this.whileRunning(() => {
          refuseWhenCut('log.read');
          return log.read(from, maximum);
        }),
    };
  }

  private guardedWorker(address: string): PlatformWorker {
    const worker = this.parts.workerAt(address);
    const guard = <Answer>(call: () => Promise<Answer>): Promise<Answer> =>
      this.whileRunning(() => {
        if (this.cutWorkers.has(address)) {
          throw new PeerUnreachableError('worker', address, 'cut off');
        }
        return call();
      });
    return {
      sync: command => guard(() => worker.sync(command)),
      start: command => guard(() => worker.start(command)),
      stop: command => guard(() => worker.stop(command)),
      throttle: (attempt, share) =>
        guard(() => worker.throttle(attempt, share)),
    };
  }
}
