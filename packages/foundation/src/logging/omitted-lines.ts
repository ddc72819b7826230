/** A kind of line of which some were left out. */
export interface OmittedLines {
  readonly kind: string;
  readonly count: number;
}
