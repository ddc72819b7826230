/** A task that may slow down the other tasks on its worker. */
export interface Neighbour {
  readonly taskKind: string;
  /** Share of its processors that it was allowed to use, 0 to 1. */
  readonly share: number;
}
