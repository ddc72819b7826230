/** What a leader and its simulated agents did in a period. */
export interface LeaderLoadFigures {
  /** Runs that ended. */
  readonly tasks: number;
  /** Processor time of the process, simulated agents included. */
  readonly processorMicroseconds: number;
  /** Messages of agents to the leader, and their characters. */
  readonly messagesIn: number;
  readonly charactersIn: number;
  /** Messages of the leader to agents, and their characters. */
  readonly messagesOut: number;
  readonly charactersOut: number;
  readonly appends: number;
  readonly storedCharacters: number;
  /** Log lines. */
  readonly lines: number;
  readonly milliseconds: number;
}
