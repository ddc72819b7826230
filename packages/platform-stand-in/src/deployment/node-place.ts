/** Where a program of a test's deployment runs, and whom it talks to. */
export interface NodePlace {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** IP address on which all its ports are. */
  readonly host: string;
  /** Addresses of the entries for heartbeats, as the settings name them. */
  readonly seeds: readonly string[];
  /** Address of the store, which may be that of a proxy. */
  readonly storeAddress: string;
  /** Address and service of the minion beside an agent. */
  readonly minionAddress: string | undefined;
  readonly service: string;
}
