import type { MinionEntry } from '../state/minion-entry.js';
import type { MinionUsage } from '../state/minion-usage.js';
import type { TaskEntry } from '../state/task-entry.js';
import type { InterferencePredictor } from './interference-predictor.js';

const MILLICORES_PER_CORE = 1000;

/** Free capacity and tasks of one minion while a round of starts is planned. */
export class CandidateMinion {
  public readonly minion: MinionEntry;

  /** That of the minion itself until this round places a task here. */
  private currentUsage: MinionUsage;

  private usageIsCopied = false;

  /** Slowdown by the batch tasks here, by serving image. */
  private readonly slowdowns = new Map<string, number>();

  public constructor(minion: MinionEntry, usage: MinionUsage = minion.usage) {
    this.minion = minion;
    this.currentUsage = usage;
  }

  /** Free processor time. */
  public get processorMillicores(): number {
    return this.capacityMillicores - this.currentUsage.reservedMillicores;
  }

  /** Free memory. */
  public get memoryMegabytes(): number {
    const total = this.minion.description?.capacity.memoryMegabytes ?? 0;
    return total - this.currentUsage.memoryMegabytes;
  }

  /** Free accelerators. */
  public get accelerators(): number {
    const total = this.minion.description?.capacity.accelerators ?? 0;
    return total - this.currentUsage.accelerators;
  }

  /** Processor time left after the expected use of all tasks, batch included. */
  public get idleMillicores(): number {
    return this.capacityMillicores - this.currentUsage.expectedMillicores;
  }

  /** What the tasks here take, with those that this round places. */
  public get usage(): MinionUsage {
    return this.currentUsage;
  }

  /** Returns the slowdown of a serving image by the batch tasks here. */
  public slowdownOf(serving: string, predictor: InterferencePredictor): number {
    const known = this.slowdowns.get(serving);
    if (known !== undefined) {
      return known;
    }
    let sum = 0;
    for (const [image, millicores] of this.currentUsage.batchMillicores) {
      const cores = millicores / MILLICORES_PER_CORE;
      sum += predictor.slowdown(serving, image, cores);
    }
    this.slowdowns.set(serving, sum);
    return sum;
  }

  /** Returns a copy that can be changed independently. */
  public copy(): CandidateMinion {
    return new CandidateMinion(this.minion, this.currentUsage.copy());
  }

  /** Counts a task that this round places on the minion. */
  public place(task: TaskEntry): void {
    if (!this.usageIsCopied) {
      this.currentUsage = this.currentUsage.copy();
      this.usageIsCopied = true;
    }
    this.currentUsage.add(task);
    this.slowdowns.clear();
  }

  private get capacityMillicores(): number {
    return this.minion.description?.capacity.processorMillicores ?? 0;
  }
}
