import type { FoldContext } from './fold-context.js';

/** The record that contains a decision, and the cell that it is made for. */
export interface DecisionContext {
  readonly fold: FoldContext;
  readonly cell: string;
  readonly epoch: number;
}
