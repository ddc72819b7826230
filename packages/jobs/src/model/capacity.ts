/** Room of a minion, or what a task takes of it. */
export interface Capacity {
  /** Thousandths of a core. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}
