/** Resources of a minion, or those that a task reserves on it. */
export interface Capacity {
  /** Thousandths of a core. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}
