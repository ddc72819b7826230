/** Estimated interference between kinds of tasks. */
export interface InterferenceModel {
  /**
   * Relative slowdown that one task of the neighbour kind causes to tasks of
   * the affected kind on the same worker: 0 for none, 0.1 for 10 %.
   */
  readonly slowdown: (affectedKind: string, neighbourKind: string) => number;
}
