import type { TaskEntry } from './task-entry.js';

/** Share of their requested processor time that serving tasks use. */
const BUSY_SHARE_OF_SERVING = 0.5;

/** What the runs on one minion take of it; kept up to date with each run. */
export class MinionUsage {
  /** Processor time that is reserved; batch tasks reserve none. */
  public reservedMillicores = 0;

  public memoryMegabytes = 0;

  public accelerators = 0;

  /** Processor time that all tasks are expected to use, batch included. */
  public expectedMillicores = 0;

  /** Processor time that serving tasks request. */
  public servingMillicores = 0;

  /** Serving tasks on the minion. */
  public readonly serving: TaskEntry[] = [];

  /** Processor time that batch tasks request, by image. */
  public readonly batchMillicores = new Map<string, number>();

  private readonly tasksByStep = new Map<string, number>();

  /** Counts a run of a task. */
  public add(task: TaskEntry): void {
    if (task.specification.tailTargetMilliseconds > 0) {
      this.serving.push(task);
    }
    this.count(task, 1);
  }

  /** Removes a run of a task that was counted before. */
  public remove(task: TaskEntry): void {
    const position = this.serving.indexOf(task);
    if (position >= 0) {
      this.serving.splice(position, 1);
    }
    this.count(task, -1);
  }

  /** Returns the number of runs here of the task's step and occurrence. */
  public countTasksOfStep(task: TaskEntry): number {
    return this.tasksByStep.get(task.stepKey) ?? 0;
  }

  /** Returns a copy that can be changed independently. */
  public copy(): MinionUsage {
    const copy = new MinionUsage();
    copy.reservedMillicores = this.reservedMillicores;
    copy.memoryMegabytes = this.memoryMegabytes;
    copy.accelerators = this.accelerators;
    copy.expectedMillicores = this.expectedMillicores;
    copy.servingMillicores = this.servingMillicores;
    copy.serving.push(...this.serving);
    this.batchMillicores.forEach((millicores, image) => {
      copy.batchMillicores.set(image, millicores);
    });
    this.tasksByStep.forEach((count, step) => {
      copy.tasksByStep.set(step, count);
    });
    return copy;
  }

  private count(task: TaskEntry, sign: 1 | -1): void {
    const { specification, stepKey } = task;
    const { image, filling, tailTargetMilliseconds } = specification;
    const millicores = sign * specification.processorMillicores;
    const isServing = tailTargetMilliseconds > 0;
    this.reservedMillicores += filling ? 0 : millicores;
    this.memoryMegabytes += sign * specification.memoryMegabytes;
    this.accelerators += sign * specification.accelerators;
    this.expectedMillicores += isServing
      ? millicores * BUSY_SHARE_OF_SERVING
      : millicores;
    this.servingMillicores += isServing ? millicores : 0;
    if (filling && !isServing) {
      addTo(this.batchMillicores, image, millicores);
    }
    addTo(this.tasksByStep, stepKey, sign);
  }
}

/** Adds an amount to that of a key, which is removed when nothing is left. */
function addTo(
  amounts: Map<string, number>,
  key: string,
  amount: number,
): void {
  const sum = (amounts.get(key) ?? 0) + amount;
  if (sum === 0) {
    amounts.delete(key);
  } else {
    amounts.set(key, sum);
  }
}
