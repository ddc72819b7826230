/** The number of lines of one kind left out by the line budget. */
export interface OmittedLines {
  readonly kind: string;
  readonly count: number;
}
