import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Share of their requested processor time that serving tasks use. */
const BUSY_SHARE_OF_SERVING = 0.5;

/** Free capacity and tasks of one minion while a round of starts is planned. */
export class CandidateMinion {
  /** Free processor time. */
  public processorMillicores: number;

  /** Free memory. */
  public memoryMegabytes: number;

  /** Free accelerators. */
  public accelerators: number;

  /** Processor time left after the expected use of all tasks, batch included. */
  public idleMillicores: number;

  /** Serving tasks on the minion. */
  public readonly serving: TaskEntry[] = [];

  /** Processor time that serving tasks request. */
  public servingMillicores = 0;

  /** Processor time that batch tasks request, by image. */
  public readonly batchMillicores = new Map<string, number>();

  public readonly minion: MinionEntry;

  private readonly tasksByStep = new Map<string, number>();

  private readonly planned: TaskEntry[] = [];

  public constructor(minion: MinionEntry) {
    this.minion = minion;
    const capacity = minion.description?.capacity;
    this.processorMillicores = capacity?.processorMillicores ?? 0;
    this.memoryMegabytes = capacity?.memoryMegabytes ?? 0;
    this.accelerators = capacity?.accelerators ?? 0;
    this.idleMillicores = this.processorMillicores;
    for (const { task } of minion.runs.values()) {
      this.count(task);
    }
  }

  /** Returns a copy that can be changed independently. */
  public copy(): CandidateMinion {
    const copy = new CandidateMinion(this.minion);
    this.planned.forEach(task => {
      copy.place(task);
    });
    return copy;
  }

  /** Counts a task that this round places on the minion. */
  public place(task: TaskEntry): void {
    this.planned.push(task);
    this.count(task);
  }

  /** Returns the number of tasks here of the same step and occurrence. */
  public countTasksOfStep(task: TaskEntry): number {
    return this.tasksByStep.get(stepKey(task)) ?? 0;
  }

  private count(task: TaskEntry): void {
    const { demand, specification } = task;
    this.processorMillicores -= demand.processorMillicores;
    this.memoryMegabytes -= demand.memoryMegabytes;
    this.accelerators -= demand.accelerators;
    const { processorMillicores, image } = specification;
    const isServing = specification.tailTargetMilliseconds > 0;
    this.idleMillicores -= isServing
      ? processorMillicores * BUSY_SHARE_OF_SERVING
      : processorMillicores;
    if (isServing) {
      this.serving.push(task);
      this.servingMillicores += processorMillicores;
    } else if (specification.filling) {
      const before = this.batchMillicores.get(image) ?? 0;
      this.batchMillicores.set(image, before + processorMillicores);
    }
    const key = stepKey(task);
    this.tasksByStep.set(key, this.countTasksOfStep(task) + 1);
  }
}

function stepKey(task: TaskEntry): string {
  return `${task.jobIdentifier}.${task.occurrence}.${task.step}`;
}
