/** One process lifetime of an entry, as announced in the log. */
export interface EntryInstance {
  readonly instance: string;
  readonly address: string;
  readonly joinedAt: number;
  /** Zero while the instance has not left. */
  readonly leftAt: number;
}
