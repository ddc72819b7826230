import type { Capacity } from '../model/capacity.js';
import type { StepSpecification } from '../model/step-specification.js';
import type { PhaseTally } from './phase-tally.js';
import type { TaskPhase } from './task-phase.js';

/** State of one task of a job's occurrence on the leader. */
export class TaskEntry {
  /** Highest run number used; 0 before the first start. */
  public run = 0;

  /** Number of runs that ended as failed. */
  public failedRuns = 0;

  /** Incarnation of the minion that has the current run; empty for none. */
  public incarnation = '';

  public checkpoint = '';

  /** Fencing token of the agent's stream on which the start order is sent. */
  public orderToken = 0;

  /** Whether the order of the current run has left, or may have left. */
  public startSent = false;

  /** Unix milliseconds of the first report of the current run; 0 for none. */
  public firstListedAt = 0;

  /**
   * Whether the current run is known to end with a lease that a leader granted; it
   * is listed, and no longer lease can be in force.
   */
  public confirmed = false;

  /** Number of runs of the task that are or may be on minions. */
  public placements = 0;

  /** Unix milliseconds at which the current run was assigned. */
  public assignedAt = 0;

  /** Share of the work done according to the last report, 0 to 100. */
  public percent = 0;

  /** Unix milliseconds of the last change of the progress. */
  public progressAt = 0;

  /** Unix milliseconds since which a batch task is throttled; 0 if it is not. */
  public throttledSince = 0;

  /** Number of times that the task was moved as it was throttled. */
  public moves = 0;

  /** Unix milliseconds since which the task can start; 0 if it cannot. */
  public waitingSince = 0;

  /** Unix milliseconds before which the task is not started again. */
  public notBefore = 0;

  /** Whether a stop of the current run has been ordered. */
  public stopping = false;

  public readonly name: string;

  public readonly jobIdentifier: string;

  public readonly occurrence: number;

  public readonly step: number;

  public readonly index: number;

  public readonly specification: StepSpecification;

  /** Identifies the step within all jobs and occurrences. */
  public readonly stepKey: string;

  private readonly tally: PhaseTally;

  private currentPhase: TaskPhase = 'waiting';

  public constructor(
    jobIdentifier: string,
    occurrence: number,
    step: number,
    index: number,
    specification: StepSpecification,
    tally: PhaseTally,
  ) {
    this.jobIdentifier = jobIdentifier;
    this.occurrence = occurrence;
    this.step = step;
    this.index = index;
    this.specification = specification;
    this.stepKey = `${jobIdentifier}.${occurrence}.${step}`;
    this.name = `${this.stepKey}.${index}`;
    this.tally = tally;
  }

  /** Present phase; a change of it is counted for the step. */
  public get phase(): TaskPhase {
    return this.currentPhase;
  }

  public set phase(phase: TaskPhase) {
    this.tally.move(this.currentPhase, phase);
    this.currentPhase = phase;
  }

  /** Resources that the task reserves; batch tasks reserve no processor time. */
  public get demand(): Capacity {
    const { specification } = this;
    return {
      processorMillicores: specification.filling
        ? 0
        : specification.processorMillicores,
      memoryMegabytes: specification.memoryMegabytes,
      accelerators: specification.accelerators,
    };
  }

  /** Assigns the task to a minion under a new run number. */
  public assign(
    incarnation: string,
    run: number,
    orderToken: number,
    now: number,
  ): void {
    this.phase = 'assigned';
    this.run = run;
    this.incarnation = incarnation;
    this.orderToken = orderToken;
    this.startSent = false;
    this.firstListedAt = 0;
    this.confirmed = false;
    this.throttledSince = 0;
    this.waitingSince = 0;
    this.assignedAt = now;
    this.percent = 0;
    this.progressAt = now;
    this.stopping = false;
  }

  /** Whether the current run of the task is on a minion, or may be. */
  public isOn(incarnation: string, run: number): boolean {
    return (
      this.phase === 'assigned' &&
      this.run === run &&
      this.incarnation === incarnation
    );
  }

  /** Assigns the current run to the minion that lists it. */
  public adopt(incarnation: string, orderToken: number, now: number): void {
    this.assign(incarnation, this.run, orderToken, now);
    this.startSent = true;
  }

  /** Takes the task off its minion, so that it can be started again. */
  public release(notBefore: number): void {
    this.phase = 'waiting';
    this.clearAssignment();
    this.notBefore = notBefore;
  }

  /** Ends the task; it does not start again. */
  public end(phase: 'done' | 'failed'): void {
    this.phase = phase;
    this.clearAssignment();
  }

  private clearAssignment(): void {
    this.incarnation = '';
    this.orderToken = 0;
    this.firstListedAt = 0;
    this.confirmed = false;
    this.stopping = false;
  }
}
