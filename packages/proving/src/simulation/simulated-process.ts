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

import type { SimulatedClock } from './simulated-clock.js';
import { effectClockOf } from './simulated-clock.js';

const LOG_POLL_INTERVAL_MILLISECONDS = 200;

const EVENT_RING_CAPACITY = 20_000;

/** Identity and dependencies of a simulated process. */
interface ProcessDependencies {
  readonly name: string;
  /** Position among the candidates for the cell's lease; 0 claims first. */
  readonly rank: number;
  readonly seed: number;
  readonly clock: SimulatedClock;
  /** Error of this process's clock relative to the simulated clock. */
  readonly clockErrorMilliseconds: number;
  readonly cell: string;
  readonly log: PlatformLog;
  readonly workerAt: (address: string) => PlatformWorker;
  /** Workers that the agents have announced. */
  readonly announced: () => readonly WorkerDescription[];
  readonly placement: ScorerName;
  readonly throttlesAtStart: boolean;
}

/**
 * Runs the daemon's scheduling of a cell on the simulated clock and injects
 * faults into its calls to the log and the workers.
 */
export class SimulatedProcess {
  public readonly state = new SharedState();

  public readonly events: EventRing;

  public readonly scheduler: CellScheduler;

  public readonly lease: LeaseManager;

  public readonly appender: RecordAppender;

  private readonly ownClock: Clock;

  private fiber: Fiber.RuntimeFiber<never> | undefined;

  private paused = false;

  private isCutOffFromLog = false;

  private unreachableWorkers: ReadonlySet<string> = new Set();

  private readonly resumeListeners: (() => void)[] = [];

  private readonly storeFollower: Effect.Effect<never>;

  public constructor(private readonly dependencies: ProcessDependencies) {
    const { clock, clockErrorMilliseconds, name, cell, seed } = dependencies;
    this.ownClock = { now: () => clock.now() + clockErrorMilliseconds };
    this.events = new EventRing(name, this.ownClock, EVENT_RING_CAPACITY);
    this.state.onOutcome(outcome => {
      if (outcome.record.envelope.writer === name) {
        outcome.decisions.forEach(decision => {
          this.recordDecision(decision);
        });
      }
    });
    const random = seededRandom(seed);
    const health = new StoreHealth(this.events);
    const identifiers = new SequentialIdentifiers();
    const processIdentifiers = {
      next: (prefix: string) => identifiers.next(`${name}-${prefix}`),
    };
    const shared = {
      state: this.state,
      clock: this.ownClock,
      events: this.events,
    };
    const log = this.logWithFaults();
    this.appender = new RecordAppender({
      ...shared,
      log,
      health,
      random,
      writer: name,
    });
    this.lease = new LeaseManager({
      ...shared,
      cell,
      instance: name,
      appender: this.appender,
      identifiers: processIdentifiers,
      rank: () => dependencies.rank,
    });
    this.scheduler = new CellScheduler({
      ...shared,
      cell,
      lease: this.lease,
      appender: this.appender,
      identifiers: processIdentifiers,
      announced: dependencies.announced,
      workerAt: address => this.workerWithFaults(address),
      storeReachable: () => health.reachable,
      placement: dependencies.placement,
      throttlesAtStart: dependencies.throttlesAtStart,
    });
    this.storeFollower = followStore({
      ...shared,
      log,
      health,
      random,
      pollMilliseconds: LOG_POLL_INTERVAL_MILLISECONDS,
      enabled: () => true,
    });
  }

  public get name(): string {
    return this.dependencies.name;
  }

  public get isAlive(): boolean {
    return this.fiber !== undefined;
  }

  public start(): void {
    const clock = effectClockOf(
      this.dependencies.clock,
      () => this.paused,
      resume => this.resumeListeners.push(resume),
    );
    const work = Effect.raceAll([
      this.storeFollower,
      this.lease.run(),
      this.scheduler.run(),
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

  /** Pauses the process: no timer fires and no call returns until `resume`. */
  public pause(): void {
    this.paused = true;
  }

  public resume(): void {
    this.paused = false;
    for (const listener of this.resumeListeners.splice(0)) {
      listener();
    }
  }

  /** Disconnects the process from the log, or reconnects it. */
  public setCutOffFromLog(isCutOff: boolean): void {
    this.isCutOffFromLog = isCutOff;
  }

  /** Sets the workers that the process cannot reach. */
  public setUnreachableWorkers(addresses: ReadonlySet<string>): void {
    this.unreachableWorkers = addresses;
  }

  private recordDecision(decision: Decision): void {
    const described = describeDecision(decision);
    if (described !== undefined) {
      this.events.record(described.kind, described.text, described.subject);
    }
  }

  private async callUnlessPaused<Result>(
    call: () => Promise<Result>,
  ): Promise<Result> {
    await this.waitUntilResumed();
    try {
      return await call();
    } finally {
      await this.waitUntilResumed();
    }
  }

  private async waitUntilResumed(): Promise<void> {
    while (this.paused) {
      await new Promise<void>(resolve => this.resumeListeners.push(resolve));
    }
  }

  private logWithFaults(): PlatformLog {
    const { log } = this.dependencies;
    const throwIfCutOff = (step: string): void => {
      if (this.isCutOffFromLog) {
        throw new PeerUnreachableError(step, 'log', 'cut off');
      }
    };
    return {
      append: envelope =>
        this.callUnlessPaused(() => {
          throwIfCutOff('log.append');
          return log.append(envelope);
        }),
      read: (from, maximum) =>
        this.callUnlessPaused(() => {
          throwIfCutOff('log.read');
          return log.read(from, maximum);
        }),
    };
  }

  private workerWithFaults(address: string): PlatformWorker {
    const worker = this.dependencies.workerAt(address);
    const callWorker = <Result>(call: () => Promise<Result>): Promise<Result> =>
      this.callUnlessPaused(() => {
        if (this.unreachableWorkers.has(address)) {
          throw new PeerUnreachableError('worker', address, 'cut off');
        }
        return call();
      });
    return {
      sync: command => callWorker(() => worker.sync(command)),
      start: command => callWorker(() => worker.start(command)),
      stop: command => callWorker(() => worker.stop(command)),
      throttle: (attempt, share) =>
        callWorker(() => worker.throttle(attempt, share)),
    };
  }
}
