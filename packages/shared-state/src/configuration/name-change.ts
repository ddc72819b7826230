/** The most recent change to one named section of the configuration. */
export interface NameChange {
  readonly revision: number;
  /** Name of the note that made the change. */
  readonly note: string;
}
