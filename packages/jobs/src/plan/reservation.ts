/** Room that is kept free for a task, or for the members of a gang. */
export interface Reservation {
  /** Name of the task, or of the gang's first member. */
  readonly task: string;
  /** Incarnations of the minions, one for each member. */
  readonly incarnations: readonly string[];
}
