import { PeerUnreachableError } from '@basilcourse/foundation/errors/peer-unreachable-error';
import { mergePages } from '@basilcourse/foundation/events/merge-pages';
import { seededRandom } from '@basilcourse/foundation/random/seeded-random';
import { LogStandIn } from '@basilcourse/platform-stand-in/log/log-stand-in';
import { ExecutionRecorder } from '@basilcourse/platform-stand-in/worker/execution-recorder';
import { WorkerStandIn } from '@basilcourse/platform-stand-in/worker/worker-stand-in';
import type { PlatformWorker } from '@basilcourse/scheduler/platform/platform-worker';
import { StateFold } from '@basilcourse/shared-state/fold/state-fold';
import { RECORD_VERSION } from '@basilcourse/shared-state/records/record-kinds';
import type { WorkerDescription } from '@basilcourse/shared-state/records/worker-description';

import { SimulatedClock } from './simulated-clock.js';
import { SimulatedProcess } from './simulated-process.js';
import type { SimulationPlan } from './simulation-plan.js';

/** Start of all simulation runs, in milliseconds since the epoch. */
const START_MILLISECONDS = 1_800_000_000_000;

const REGION = 'region';

const CELL = `${REGION}/0`;

/**
 * Error of each process's clock, alternately fast and slow: half of the
 * guaranteed bound on the difference between two clocks, so that the clocks of
 * two processes differ by the whole bound.
 */
const CLOCK_ERROR_MILLISECONDS = 250;

/** Processes, workers and a log on one simulated clock. */
export class SimulationRun {
  public readonly clock = new SimulatedClock(START_MILLISECONDS);

  public readonly recorder = new ExecutionRecorder();

  public readonly log: LogStandIn;

  public readonly workers: WorkerStandIn[] = [];

  public readonly processes: SimulatedProcess[] = [];

  private readonly removedWorkers = new Set<string>();

  /** State for the checks, folded independently of the processes. */
  private readonly fold = new StateFold();

  private publishedNotes = 0;

  private startedProcesses = 0;

  public constructor(private readonly plan: SimulationPlan) {
    this.log = new LogStandIn(this.clock, seededRandom(plan.seed));
    this.log.setFaults(plan.logFaults);
    for (let index = 0; index < plan.workers; index += 1) {
      this.workers.push(this.createWorker(index));
    }
    for (let index = 0; index < plan.processes; index += 1) {
      this.addProcess();
    }
  }

  public get cell(): string {
    return CELL;
  }

  /** Starts one more process and returns it. */
  public addProcess(): SimulatedProcess {
    const index = this.startedProcesses;
    this.startedProcesses += 1;
    const direction = index % 2 === 0 ? 1 : -1;
    const process = new SimulatedProcess({
      name: `process-${index + 1}`,
      rank: index % this.plan.processes,
      seed: this.plan.seed + index,
      clock: this.clock,
      clockErrorMilliseconds: direction * CLOCK_ERROR_MILLISECONDS,
      cell: CELL,
      log: this.log,
      workerAt: address => this.workerAt(address),
      announced: () => this.announced(),
      placement: this.plan.placement,
      throttlesAtStart: this.plan.throttlesAtStart,
    });
    this.processes.push(process);
    process.start();
    return process;
  }

  /** Appends a release note as an operator would. */
  public async publish(text: string): Promise<void> {
    this.publishedNotes += 1;
    await this.log.append({
      id: `note-${this.publishedNotes}`,
      kind: 'release-note',
      version: RECORD_VERSION,
      writer: 'operator',
      writtenAt: this.clock.now(),
      body: { operator: 'operator', text },
    });
  }

  /** Advances the clock and the workers' tasks in equal steps. */
  public async advance(milliseconds: number, step = 250): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += step) {
      await this.clock.advance(step);
      for (const worker of this.workers) {
        worker.runner.advance(this.clock.now());
      }
    }
  }

  /** Folds the log up to its end, independently of the processes. */
  public async readFold(): Promise<StateFold> {
    for (;;) {
      const page = await this.log.read(this.fold.next, 1000);
      for (const record of page.records) {
        this.fold.apply(record);
      }
      if (page.records.length === 0) {
        return this.fold;
      }
    }
  }

  /** Simulates the loss of a VM: its tasks end and it becomes unreachable. */
  public killWorker(index: number): void {
    const worker = this.workers[index];
    worker?.setFaults({ unreachable: true });
    worker?.runner.clear();
    this.removedWorkers.add(worker?.name ?? '');
  }

  /** Makes a worker reachable again, on a new VM or after a partition. */
  public replaceWorker(index: number): void {
    const worker = this.workers[index];
    worker?.setFaults({ unreachable: false });
    this.removedWorkers.delete(worker?.name ?? '');
  }

  /** Time at which an attempt started; undefined if it never did. */
  public startedAt(attempt: string): number | undefined {
    return this.recorder.startedAt(attempt);
  }

  public async end(): Promise<void> {
    await Promise.all(this.processes.map(process => process.kill()));
  }

  /** Returns the time line of all processes, in causal order. */
  public timeline(): readonly string[] {
    const pages = this.processes.map(({ events }) => events.since(0));
    return mergePages(pages).map(event => {
      const seconds = (event.timestamp.wall - START_MILLISECONDS) / 1000;
      return `${seconds.toFixed(2).padStart(8)} ${event.process.padEnd(10)} ${event.kind.padEnd(18)} ${event.text}`;
    });
  }

  private announced(): readonly WorkerDescription[] {
    return this.workers
      .map((_, index) => this.descriptionOf(index))
      .filter(({ worker }) => !this.removedWorkers.has(worker));
  }

  private descriptionOf(index: number): WorkerDescription {
    const { zones, workersPerRack, workerSize } = this.plan;
    const zone = zones[index % zones.length] ?? 'zone';
    const row = Math.floor(index / zones.length);
    return {
      worker: `worker-${index + 1}`,
      address: `worker-${index + 1}`,
      region: REGION,
      availabilityZone: zone,
      rack: `${zone}-rack-${Math.floor(row / workersPerRack)}`,
      resources: workerSize,
    };
  }

  private createWorker(index: number): WorkerStandIn {
    return new WorkerStandIn({
      description: this.descriptionOf(index),
      clock: this.clock,
      random: seededRandom(this.plan.seed * 31 + index),
      recorder: this.recorder,
      behaviour: this.plan.behaviour,
    });
  }

  private workerAt(address: string): PlatformWorker {
    const worker = this.workers.find(({ name }) => name === address);
    if (worker === undefined) {
      throw new PeerUnreachableError('worker', address, 'no such worker');
    }
    return worker;
  }
}
