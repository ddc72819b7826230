/** The most recent change to the named part of the configuration. */
export interface NameChange {
  readonly revision: number;
  /** Name of the note that made the change. */
  readonly note: string;
}
