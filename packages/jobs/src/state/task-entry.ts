import type { Capacity } from '../model/capacity.js';
import type { StepSpecification } from '../model/step-specification.js';

/** Where a task stands. */
export type TaskPhase = 'waiting' | 'assigned' | 'done' | 'failed';

/** One task of one occurrence of a job, as the leader sees it. */
export class TaskEntry {
  public phase: TaskPhase = 'waiting';

  /** Highest run number used; 0 before the first start. */
  public run = 0;

  /** Runs that ended through a fault. */
  public failedRuns = 0;

  /** Incarnation of the minion that has the current run; empty if none. */
  public incarnation = '';

  public checkpoint = '';

  /** Fencing token of the agent's stream that the order goes by. */
  public orderToken = 0;

  /** When the minion first listed the current run; 0 if it has not. */
  public seenRunningAt = 0;

  /** When the current run was assigned. */
  public assignedAt = 0;

  /** Progress last listed, and when it last changed. */
  public percent = 0;

  public progressAt = 0;

  /** When the task was first seen to be able to start; 0 if it was not. */
  public waitingSince = 0;

  /** Not started again before this time. */
  public notBefore = 0;

  public stopping = false;

  public readonly name: string;

  public readonly jobIdentifier: string;

  public readonly occurrence: number;

  public readonly step: number;

  public readonly index: number;

  public readonly specification: StepSpecification;

  public constructor(
    jobIdentifier: string,
    occurrence: number,
    step: number,
    index: number,
    specification: StepSpecification,
  ) {
    this.jobIdentifier = jobIdentifier;
    this.occurrence = occurrence;
    this.step = step;
    this.index = index;
    this.specification = specification;
    this.name = `${jobIdentifier}.${occurrence}.${step}.${index}`;
  }

  /** What the task takes of a minion's counted room. */
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

  /** Puts the task on a minion under a new run number. */
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
    this.seenRunningAt = 0;
    this.waitingSince = 0;
    this.assignedAt = now;
    this.percent = 0;
    this.progressAt = now;
    this.stopping = false;
  }

  /** Takes the task off its minion, to be started again. */
  public release(notBefore: number): void {
    this.phase = 'waiting';
    this.leaveMinion();
    this.notBefore = notBefore;
  }

  /** Ends the task for good. */
  public finish(phase: 'done' | 'failed'): void {
    this.phase = phase;
    this.leaveMinion();
  }

  private leaveMinion(): void {
    this.incarnation = '';
    this.orderToken = 0;
    this.seenRunningAt = 0;
    this.stopping = false;
  }
}
