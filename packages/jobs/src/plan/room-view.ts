import type { MinionEntry } from '../state/minion-entry.js';
import type { TaskEntry } from '../state/task-entry.js';

/** Share of their request that tasks use which serve users. */
const BUSY_SHARE_OF_SERVING = 0.5;

/** Room of one minion while a round of starts is planned. */
export class RoomView {
  public processorMillicores: number;

  public memoryMegabytes: number;

  public accelerators: number;

  /** Processor time that nothing uses, filling tasks counted too. */
  public idleMillicores: number;

  /** Tasks on the minion that serve users. */
  public readonly serving: TaskEntry[] = [];

  /** Processor time that serving tasks ask for. */
  public servingMillicores = 0;

  /** Processor time that filling tasks ask for, by image. */
  public readonly fillingMillicores = new Map<string, number>();

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
    for (const { entry } of minion.runs.values()) {
      this.count(entry);
    }
  }

  /** Returns the same view, to be changed apart. */
  public copy(): RoomView {
    const copy = new RoomView(this.minion);
    this.planned.forEach(entry => {
      copy.take(entry);
    });
    return copy;
  }

  /** Counts a task that this round puts on the minion. */
  public take(entry: TaskEntry): void {
    this.planned.push(entry);
    this.count(entry);
  }

  /** Tasks of the same step of the same occurrence on the minion. */
  public countOfStep(entry: TaskEntry): number {
    return this.tasksByStep.get(stepKey(entry)) ?? 0;
  }

  private count(entry: TaskEntry): void {
    const { demand, specification } = entry;
    this.processorMillicores -= demand.processorMillicores;
    this.memoryMegabytes -= demand.memoryMegabytes;
    this.accelerators -= demand.accelerators;
    const { processorMillicores, image } = specification;
    const serves = specification.tailTargetMilliseconds > 0;
    this.idleMillicores -= serves
      ? processorMillicores * BUSY_SHARE_OF_SERVING
      : processorMillicores;
    if (serves) {
      this.serving.push(entry);
      this.servingMillicores += processorMillicores;
    } else if (specification.filling) {
      const before = this.fillingMillicores.get(image) ?? 0;
      this.fillingMillicores.set(image, before + processorMillicores);
    }
    const key = stepKey(entry);
    this.tasksByStep.set(key, this.countOfStep(entry) + 1);
  }
}

function stepKey(entry: TaskEntry): string {
  return `${entry.jobIdentifier}.${entry.occurrence}.${entry.step}`;
}
